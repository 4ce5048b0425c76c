package priority

import (
	"maps"
	"slices"
)

const (
	minArrivals        = 0.05 // count below which a workspace is removed
	maxLevelWorkspaces = 16   // with their own share in one level
)

// fairness counts the demand of each workspace over recent windows, so that upstream daemons shed the demand
// of each workspace above its fair share.
type fairness struct {
	arrivals map[int]map[string]*workspaceArrivals // by priority
}

// arrivalsOf returns the counts of r's workspace at its priority, and creates them if needed.
func (f *fairness) arrivalsOf(r Request) *workspaceArrivals {
	p := clampPriority(r.Priority)
	if f.arrivals == nil {
		f.arrivals = make(map[int]map[string]*workspaceArrivals)
	}
	if f.arrivals[p] == nil {
		f.arrivals[p] = make(map[string]*workspaceArrivals)
	}
	a := f.arrivals[p][r.Workspace]
	if a == nil {
		a = &workspaceArrivals{name: r.Workspace, hash: HashWorkspace(r.Workspace)}
		f.arrivals[p][r.Workspace] = a
	}
	a.share = max(r.Share, minShare)
	return a
}

// level returns a level that admits the share admitted of the demand at priority. The admitted demand is
// divided among workspaces by weighted max-min fairness, and one that exceeds its part by the share slack at most keeps
// all.
func (f *fairness) level(priority int, admitted, slack float64) Level {
	workspaces := slices.SortedFunc(maps.Values(f.arrivals[priority]), compareDemand)
	if len(workspaces) == 0 {
		return Level{Priority: priority, Share: 1 - admitted}
	}
	rate, firstAbove := fairRate(workspaces, admitted, slack)
	shedding := workspaces[firstAbove:]
	level := Level{Priority: priority}
	if firstAbove == 0 {
		level.Share = excessShare(workspaces[0], rate)
	}
	for _, a := range shedding[max(0, len(shedding)-maxLevelWorkspaces):] {
		level.Workspaces = append(level.Workspaces, WorkspaceShare{Workspace: a.hash, Share: excessShare(a, rate)})
	}
	slices.SortFunc(level.Workspaces, func(a, b WorkspaceShare) int { return compareWorkspace(a, b.Workspace) })
	return level
}

// fairRate returns the max-min fair demand per unit of workspace share if the share admitted of all demand
// is admitted, and the index of the first workspace whose demand exceeds it by more than the share slack. The workspaces
// must be sorted by compareDemand.
func fairRate(workspaces []*workspaceArrivals, admitted, slack float64) (rate float64, firstAbove int) {
	remaining, shares := 0.0, 0.0
	for _, a := range workspaces {
		remaining += a.count * admitted
		shares += a.share
	}
	for i, a := range workspaces {
		rate = remaining / shares
		if a.count > (1+slack)*rate*a.share {
			return rate, i
		}
		remaining -= a.count
		shares -= a.share
	}
	return rate, len(workspaces)
}

// excessShare returns the share of a workspace's demand above its fair demand. It is capped so that some
// requests still arrive and the demand stays measurable.
func excessShare(a *workspaceArrivals, rate float64) float64 {
	return min(1-minAdmittedShare, 1-rate*a.share/a.count)
}

// decay reduces the counts at the end of a window and removes negligible ones.
func (f *fairness) decay(factor float64) {
	for p := range f.arrivals {
		for name, a := range f.arrivals[p] {
			a.count *= factor
			if a.count < minArrivals {
				delete(f.arrivals[p], name)
			}
		}
	}
}

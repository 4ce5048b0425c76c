package priority

import (
	"maps"
	"slices"
)

const (
	arrivalsKeep      = 0.97 // of the counts from one window to the next
	arrivalsForgive   = 0.05
	workspacesMaximum = 16 // named in one level
)

// fairness counts the demand of each workspace over the last windows, so that shedding upstream takes from
// each what it has in excess of its fair share.
type fairness struct {
	arrivals map[int]map[string]*workspaceArrivals // by priority
}

// of returns the counts of r's workspace at its priority.
func (f *fairness) of(r Request) *workspaceArrivals {
	p := bucket(r.Priority)
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
	a.share = max(r.Share, minimumShare)
	return a
}

// level returns the level that lets through the share admitted of the demand at priority, divided fairly
// (max-min, by shares) among the workspaces.
func (f *fairness) level(priority int, admitted float64) Level {
	all := slices.SortedFunc(maps.Values(f.arrivals[priority]), compareDemand)
	if len(all) == 0 {
		return Level{Priority: priority, Share: 1 - admitted}
	}
	fair, first := fairPart(all, admitted)
	shedding := all[first:]
	level := Level{Priority: priority}
	if first == 0 {
		level.Share = excess(all[0], fair)
	}
	for _, a := range shedding[max(0, len(shedding)-workspacesMaximum):] {
		level.Workspaces = append(level.Workspaces, WorkspaceShare{Workspace: a.hash, Share: excess(a, fair)})
	}
	slices.SortFunc(level.Workspaces, func(a, b WorkspaceShare) int { return compareWorkspace(a, b.Workspace) })
	return level
}

// fairPart returns what each workspace may have for a share of one, where the share admitted of all demand
// is divided, and the first of those, sorted by demand, that want more.
func fairPart(all []*workspaceArrivals, admitted float64) (fair float64, first int) {
	left, shares := 0.0, 0.0
	for _, a := range all {
		left += a.count * admitted
		shares += a.share
	}
	for i, a := range all {
		fair = left / shares
		if a.count > fair*a.share {
			return fair, i
		}
		left -= a.count
		shares -= a.share
	}
	return fair, len(all)
}

// excess returns the share of its demand that a workspace has beyond its fair part; some is always let
// through, so that its demand is seen.
func excess(a *workspaceArrivals, fair float64) float64 {
	return min(1-shedFloor, 1-fair*a.share/a.count)
}

// age lets the counts fade at the end of a window.
func (f *fairness) age() {
	for p := range f.arrivals {
		for name, a := range f.arrivals[p] {
			a.count *= arrivalsKeep
			if a.count < arrivalsForgive {
				delete(f.arrivals[p], name)
			}
		}
	}
}

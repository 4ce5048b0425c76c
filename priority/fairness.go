package priority

import (
	"maps"
	"slices"
	"strings"
)

const (
	arrivalsKeep    = 0.9 // of the counts from one window to the next
	arrivalsForgive = 0.05
)

// fairness counts the arrivals of each workspace over the last windows, so that shedding upstream, which is
// blind to workspaces, takes no more than what every workspace has in excess of its fair share.
type fairness struct {
	arrivals [priorities]map[string]*workspaceArrivals
}

type workspaceArrivals struct {
	name  string
	share float64
	count float64
}

func (f *fairness) arrived(r Request) {
	p := bucket(r.Priority)
	if f.arrivals[p] == nil {
		f.arrivals[p] = make(map[string]*workspaceArrivals)
	}
	a := f.arrivals[p][r.Workspace]
	if a == nil {
		a = &workspaceArrivals{name: r.Workspace}
		f.arrivals[p][r.Workspace] = a
	}
	a.share = max(r.Share, minimumShare)
	a.count++
}

// excess returns the share of the arrivals at priority that even the least demanding workspace has to
// give up, where all together may keep the share admitted.
func (f *fairness) excess(priority int, admitted float64) float64 {
	all := slices.SortedFunc(maps.Values(f.arrivals[priority]), func(a, b *workspaceArrivals) int {
		if byDemand := compare(a.count/a.share, b.count/b.share); byDemand != 0 {
			return byDemand
		}
		return strings.Compare(a.name, b.name)
	})
	if len(all) == 0 {
		return 1 - admitted
	}
	total, shares := 0.0, 0.0
	for _, a := range all {
		total += a.count
		shares += a.share
	}
	fair := admitted * total * all[0].share / shares
	return max(0, 1-fair/all[0].count)
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

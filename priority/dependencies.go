package priority

import "slices"

const (
	neededShare    = 0.9 // of the answered runs that made a call
	callKeep       = 0.95
	calleesMaximum = 16
)

// Dependencies learns from the answered runs of each route which deeper calls a run needs. The caller holds
// one lock around all calls.
type Dependencies struct {
	routes map[string][]dependency
}

// dependency is one deeper call of a route with the moving share of the runs that made it.
type dependency struct {
	callee Callee
	share  float64
}

// NewDependencies returns dependencies that know no route.
func NewDependencies() *Dependencies {
	return &Dependencies{routes: make(map[string][]dependency)}
}

// Answered takes the deeper calls that were answered well within one run of route, which was so too.
func (d *Dependencies) Answered(route string, callees []Callee) {
	known, seen := d.routes[route]
	if !seen && len(d.routes) >= routesMaximum {
		return
	}
	for i := range known {
		made := 0.0
		if slices.Contains(callees, known[i].callee) {
			made = 1
		}
		known[i].share = callKeep*known[i].share + (1-callKeep)*made
	}
	for _, callee := range callees {
		found := slices.ContainsFunc(known, func(k dependency) bool { return k.callee == callee })
		if !found && len(known) < calleesMaximum {
			known = append(known, dependency{callee: callee, share: firstShare(seen)})
		}
	}
	d.routes[route] = known
}

// firstShare returns the share of a deeper call that is seen for the first time: it is taken for needed only
// where no run of the route was answered without it.
func firstShare(seen bool) float64 {
	if seen {
		return 1 - callKeep
	}
	return 1
}

// Needed returns the deeper calls that nearly all runs of route make.
func (d *Dependencies) Needed(route string) []Callee {
	var needed []Callee
	for _, k := range d.routes[route] {
		if k.share >= neededShare {
			needed = append(needed, k.callee)
		}
	}
	return needed
}

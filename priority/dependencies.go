package priority

import "slices"

const (
	minNeededShare  = 0.9  // of the successful runs that made a call
	callShareDecay  = 0.95 // weight of the previous share at each run
	maxRouteCallees = 16
)

// Dependencies estimates from the successful runs of each route which nested calls a run needs. The caller
// must serialize all calls with one lock.
type Dependencies struct {
	routes map[string][]dependency
}

// dependency is a nested call of a route with the moving average of the share of runs that made it.
type dependency struct {
	callee Callee
	share  float64
}

// NewDependencies returns Dependencies without observations.
func NewDependencies() *Dependencies {
	return &Dependencies{routes: make(map[string][]dependency)}
}

// RecordSuccess records one successful run of route with the nested calls that succeeded within it.
func (d *Dependencies) RecordSuccess(route string, callees []Callee) {
	known, seen := d.routes[route]
	if !seen && len(d.routes) >= maxRoutes {
		return
	}
	for i := range known {
		made := 0.0
		if slices.Contains(callees, known[i].callee) {
			made = 1
		}
		known[i].share = callShareDecay*known[i].share + (1-callShareDecay)*made
	}
	for _, callee := range callees {
		found := slices.ContainsFunc(known, func(k dependency) bool { return k.callee == callee })
		if !found && len(known) < maxRouteCallees {
			known = append(known, dependency{callee: callee, share: initialShare(seen)})
		}
	}
	d.routes[route] = known
}

// initialShare returns the share of a nested call that is observed for the first time. It counts as needed
// only if no earlier run of the route succeeded without it.
func initialShare(seen bool) float64 {
	if seen {
		return 1 - callShareDecay
	}
	return 1
}

// Needed returns the nested calls that nearly all runs of route make.
func (d *Dependencies) Needed(route string) []Callee {
	var needed []Callee
	for _, k := range d.routes[route] {
		if k.share >= minNeededShare {
			needed = append(needed, k.callee)
		}
	}
	return needed
}

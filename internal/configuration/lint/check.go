package lint

import "sapphirespread.example/configuration"

// Check returns a warning for each object or value of a valid set that can never take effect or contradicts another one,
// sorted by name.
func Check(set configuration.Set) configuration.Problems {
	l := newLinter(set)
	for _, r := range set.Routes {
		l.checkRoute(r)
	}
	for _, limit := range set.Limits {
		l.checkLimit(limit)
	}
	l.checkUnused()
	_ = l.warnings.Err() // sorts
	return l.warnings
}

// linter collects the warnings about a set.
type linter struct {
	set      configuration.Set
	services map[string]configuration.Service
	// withKey holds the workspaces that have a key.
	withKey map[string]bool
	// used holds the names of the objects that another object refers to, by kind.
	used     map[configuration.Kind]map[string]bool
	warnings configuration.Problems
}

func newLinter(set configuration.Set) *linter {
	l := &linter{
		set:      set,
		services: make(map[string]configuration.Service, len(set.Services)),
		withKey:  make(map[string]bool, len(set.Workspaces)),
		used:     make(map[configuration.Kind]map[string]bool),
	}
	for _, s := range set.Services {
		l.services[s.Name] = s
	}
	for _, k := range set.Keys {
		l.withKey[k.Workspace] = true
	}
	for _, w := range set.Workspaces {
		l.use(configuration.KindLimit, w.Limit)
		l.use(configuration.KindPriority, w.Priority)
	}
	for _, r := range set.Routes {
		l.use(configuration.KindPriority, r.Priority)
		for _, s := range weightedServices(r) {
			l.use(configuration.KindService, s.Service)
		}
	}
	return l
}

func (l *linter) use(kind configuration.Kind, name string) {
	if l.used[kind] == nil {
		l.used[kind] = make(map[string]bool)
	}
	l.used[kind][name] = true
}

func (l *linter) warn(name, found, expected string) {
	l.warnings = append(l.warnings, configuration.Problem{Name: name, Found: found, Expected: expected})
}

// weightedServices returns the services of a route, with a weight of 1 for a route that has a single one.
func weightedServices(r configuration.Route) []configuration.WeightedService {
	if len(r.Split) == 0 {
		return []configuration.WeightedService{{Service: r.Service, Weight: 1}}
	}
	return r.Split
}

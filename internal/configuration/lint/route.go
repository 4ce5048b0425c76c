package lint

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"sapphirespread.example/configuration"
)

func (l *linter) checkRoute(r configuration.Route) {
	name := "routes." + r.Name
	if !r.Open && !l.hasCaller(r) {
		l.warn(name+".workspaces", "no workspace with a key", "a key of a workspace that may use the route: no request can match it")
	}
	// Requests are matched by their decoded path.
	if strings.Contains(r.Path, "%") {
		l.warn(name+".path", strconv.Quote(r.Path), "a decoded path: an escape matches only its own characters")
	}
	for _, s := range r.Split {
		if s.Weight == 0 {
			l.warn(name+".split.weight", "0 for "+s.Service, "a weight above 0: the service gets no request of the route")
		}
	}
	if r.Objective > r.Deadline {
		l.warn(name+".objective", strconv.Quote(r.Objective.String()), fmt.Sprintf("at most the deadline %q: no answer is later than the objective", r.Deadline))
	}
	if r.ExtraAttempts > 0 && !l.mayRetry(r) {
		l.warn(name+".extra-attempts", strconv.Itoa(r.ExtraAttempts), "0, or a service with a retry-budget or minimum-retries-per-second above 0")
	}
}

// hasCaller reports whether any workspace that may use the route has a key.
func (l *linter) hasCaller(r configuration.Route) bool {
	if len(r.Workspaces) == 0 {
		return len(l.withKey) > 0
	}
	return slices.ContainsFunc(r.Workspaces, func(name string) bool { return l.withKey[name] })
}

// mayRetry reports whether any service of the route allows retries.
func (l *linter) mayRetry(r configuration.Route) bool {
	return slices.ContainsFunc(weightedServices(r), func(s configuration.WeightedService) bool {
		service := l.services[s.Service]
		return service.RetryBudget > 0 || service.MinimumRetriesPerSecond > 0
	})
}

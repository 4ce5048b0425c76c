package measure

import (
	"time"

	"github.com/joomcode/errorx"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/load"
)

const (
	nominalLoad    = 0.5
	plentifulLimit = 10.0
	tenantLimit    = 1.5
	surgeFactor    = 3.0
	tenantFactor   = 5.0
	slowdownFactor = 10.0
	hardAttempts   = 3
	stormAttempts  = 10
	hardPause      = 100 * time.Millisecond
	stormPause     = 20 * time.Millisecond
	settleTime     = 2 * time.Second
	smallestBurst  = 10
	burstTime      = time.Second
)

// A Scenario is one kind of trigger on top of a steady load.
type Scenario struct {
	Name string
	// Limit is the granted rate of each workspace as a multiple of its usual one.
	Limit   float64
	Retrier load.RetryPolicy
	// Trigger tells whether there is one; without, all of the run is steady.
	Trigger bool
	phases  func(d deployment.Deployment, t Times) []load.Phase
	begin   func(d deployment.Deployment, s System)
	end     func(d deployment.Deployment, s System)
	impair  func(d deployment.Deployment) []deployment.Impairment
	victim  func(d deployment.Deployment) string // the target that is killed
	// crashing is the route of a request that crashes each backend server that runs it.
	crashing func(d deployment.Deployment) load.Route
}

// Times are the lengths of the parts of a run.
type Times struct {
	Before, Trigger, After time.Duration
}

// End returns when the trigger ends.
func (t Times) End() time.Duration {
	return t.Before + t.Trigger
}

// Total returns the length of a run.
func (t Times) Total() time.Duration {
	return t.End() + t.After
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	hard := load.RetryPolicy{Attempts: hardAttempts, Pause: hardPause, Aggressive: true}
	return []Scenario{
		{Name: "steady", Limit: tenantLimit, Retrier: hard},
		{Name: "surge", Limit: plentifulLimit, Retrier: hard, Trigger: true, phases: surge(surgeFactor)},
		{Name: "slow-service", Limit: plentifulLimit, Retrier: hard, Trigger: true, begin: slowDeep, end: healDeep, impair: deepImpairment},
		{Name: "tenant", Limit: tenantLimit, Retrier: hard, Trigger: true, phases: tenant},
		{Name: "target-killed", Limit: plentifulLimit, Retrier: hard, Trigger: true, begin: killDeep, impair: oneTargetGone, victim: firstDeep},
		{Name: "domain-lost", Limit: plentifulLimit, Retrier: hard, Trigger: true, begin: loseDomain, end: restoreDomain, impair: oneDomainGone},
		{
			Name: "retry-storm", Limit: plentifulLimit, Retrier: load.RetryPolicy{Attempts: stormAttempts, Pause: stormPause, Aggressive: true},
			Trigger: true, phases: surge(surgeFactor),
		},
		{
			Name: "crashing-request", Limit: plentifulLimit, Retrier: load.RetryPolicy{Attempts: stormAttempts, Pause: hardPause, Aggressive: true},
			Trigger: true, crashing: repeatableRoute, impair: oneCrashed,
		},
		{Name: "lying-reports", Limit: plentifulLimit, Retrier: hard, Trigger: true, begin: lie, end: tellTruth},
	}
}

// FindScenario returns the scenario called name.
func FindScenario(name string) (Scenario, error) {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario, nil
		}
	}
	return Scenario{}, errorx.IllegalArgument.New("unknown scenario %q", name)
}

// Plan returns the load of the scenario; the keys of the workspaces are still to be set.
func (s Scenario) Plan(d deployment.Deployment, seed uint64, times Times) load.Plan {
	nominal := d.Capacity() * nominalLoad
	plan := load.Plan{Seed: seed, Duration: times.Total()}
	for _, workspace := range d.Workspaces {
		rate := nominal * workspace.Share
		limit := load.Limit{Rate: rate * s.Limit}
		limit.Burst = max(int64(limit.Rate*burstTime.Seconds()), smallestBurst)
		plan.Workspaces = append(plan.Workspaces, load.Workspace{Name: workspace.Name, Rate: rate, Limit: limit})
	}
	plan.Routes = Routes(d)
	if s.phases != nil {
		plan.Phases = s.phases(d, times)
	}
	return plan
}

// Steady tells whether requests sent at a time of the run ought not to be refused as overload.
func (s Scenario) Steady(times Times) func(at time.Duration) bool {
	if !s.Trigger {
		return func(time.Duration) bool { return true }
	}
	return func(at time.Duration) bool { return at < times.Before || at >= times.End()+settleTime }
}

// Routes returns the routes that callers of d use.
func Routes(d deployment.Deployment) []load.Route {
	var routes []load.Route
	for _, route := range d.Routes {
		if route.Weight > 0 {
			routes = append(routes, load.Route{
				Name: route.Name, Method: route.Method, Path: route.Path, Service: route.Service,
				Priority: route.Priority.Level, Deadline: route.Deadline, Repeatable: route.Repeatable, Weight: route.Weight,
			})
		}
	}
	return routes
}

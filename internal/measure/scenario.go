package measure

import (
	"time"

	"github.com/joomcode/errorx"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/load"
)

const (
	nominalLoadShare     = 0.5
	unreachedLimitFactor = 10.0
	tenantLimitFactor    = 1.5
	surgeFactor          = 3.0
	tenantOverloadFactor = 5.0
	slowdownFactor       = 10.0
	aggressiveAttempts   = 3
	stormAttempts        = 10
	aggressivePause      = 100 * time.Millisecond
	stormPause           = 20 * time.Millisecond
	settleTime           = 2 * time.Second
	minBurst             = 10
	burstDuration        = time.Second
)

// A Scenario is a steady load with one kind of trigger, such as a surge or a crash.
type Scenario struct {
	Name string
	// Limit is the rate limit of each workspace as a multiple of its usual rate.
	Limit       float64
	RetryPolicy load.RetryPolicy
	// Trigger is false for a scenario without a trigger, which is steady during the entire run.
	Trigger      bool
	loadPhases   func(d deployment.Deployment, t Times) []load.Phase
	beginTrigger func(d deployment.Deployment, s System)
	endTrigger   func(d deployment.Deployment, s System)
	impairments  func(d deployment.Deployment) []deployment.Impairment
	killedTarget func(d deployment.Deployment) string // name of the target that the trigger crashes
	// crashingRoute returns the route of a request that crashes each backend server that runs it.
	crashingRoute func(d deployment.Deployment) load.Route
}

// Times holds the durations of the parts of a run.
type Times struct {
	Before, Trigger, After time.Duration
}

// End returns the time from the start of the run to the end of the trigger.
func (t Times) End() time.Duration {
	return t.Before + t.Trigger
}

// Total returns the duration of a run.
func (t Times) Total() time.Duration {
	return t.End() + t.After
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	aggressive := load.RetryPolicy{Attempts: aggressiveAttempts, Pause: aggressivePause, Aggressive: true}
	return []Scenario{
		{Name: "steady", Limit: tenantLimitFactor, RetryPolicy: aggressive},
		{Name: "surge", Limit: unreachedLimitFactor, RetryPolicy: aggressive, Trigger: true, loadPhases: surge(surgeFactor)},
		{
			Name: "slow-service", Limit: unreachedLimitFactor, RetryPolicy: aggressive, Trigger: true,
			beginTrigger: slowMiddleService, endTrigger: restoreMiddleService, impairments: slowMiddleServiceImpairment,
		},
		{Name: "tenant", Limit: tenantLimitFactor, RetryPolicy: aggressive, Trigger: true, loadPhases: exceedLimit},
		{
			Name: "target-killed", Limit: unreachedLimitFactor, RetryPolicy: aggressive, Trigger: true,
			beginTrigger: crashMiddleTarget, impairments: middleTargetImpairment, killedTarget: middleTargetName,
		},
		{
			Name: "domain-lost", Limit: unreachedLimitFactor, RetryPolicy: aggressive, Trigger: true,
			beginTrigger: crashFirstDomain, endTrigger: restoreFirstDomain, impairments: lostDomainImpairment,
		},
		{
			Name: "retry-storm", Limit: unreachedLimitFactor, RetryPolicy: load.RetryPolicy{Attempts: stormAttempts, Pause: stormPause, Aggressive: true},
			Trigger: true, loadPhases: surge(surgeFactor),
		},
		{
			Name: "crashing-request", Limit: unreachedLimitFactor, RetryPolicy: load.RetryPolicy{Attempts: stormAttempts, Pause: aggressivePause, Aggressive: true},
			Trigger: true, crashingRoute: repeatableRoute, impairments: crashingRequestImpairment,
		},
		{
			Name: "lying-reports", Limit: unreachedLimitFactor, RetryPolicy: aggressive, Trigger: true,
			beginTrigger: distortReports, endTrigger: endDistortion,
		},
	}
}

// FindScenario returns the scenario with the given name, or an error if there is none.
func FindScenario(name string) (Scenario, error) {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario, nil
		}
	}
	return Scenario{}, errorx.IllegalArgument.New("unknown scenario %q", name)
}

// Plan returns the load of the scenario. It leaves the keys of the workspaces empty.
func (s Scenario) Plan(d deployment.Deployment, seed uint64, times Times) load.Plan {
	nominal := d.Capacity() * nominalLoadShare
	plan := load.Plan{Seed: seed, Duration: times.Total()}
	for _, workspace := range d.Workspaces {
		rate := nominal * workspace.Share
		limit := load.Limit{Rate: rate * s.Limit}
		limit.Burst = max(int64(limit.Rate*burstDuration.Seconds()), minBurst)
		plan.Workspaces = append(plan.Workspaces, load.Workspace{Name: workspace.Name, Rate: rate, Limit: limit})
	}
	plan.Routes = Routes(d)
	if s.loadPhases != nil {
		plan.Phases = s.loadPhases(d, times)
	}
	return plan
}

// Steady returns a function that reports whether a request sent at a time of the run must not be refused as overload.
func (s Scenario) Steady(times Times) func(at time.Duration) bool {
	if !s.Trigger {
		return func(time.Duration) bool { return true }
	}
	return func(at time.Duration) bool { return at < times.Before || at >= times.End()+settleTime }
}

// Routes returns the routes of d that callers use, which have a positive weight.
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

package measure

import (
	"slices"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/load"
)

// surge multiplies the load of all workspaces by factor.
func surge(factor float64) func(deployment.Deployment, Times) []load.Phase {
	return func(_ deployment.Deployment, t Times) []load.Phase {
		return []load.Phase{{From: t.Before, To: t.End(), Factor: factor}}
	}
}

// exceedLimit makes the largest workspace send several times its rate limit.
func exceedLimit(d deployment.Deployment, t Times) []load.Phase {
	return []load.Phase{{From: t.Before, To: t.End(), Workspace: d.Workspaces[0].Name, Factor: tenantLimitFactor * tenantOverloadFactor}}
}

// middleService returns the first service that is called by another service and itself calls a third, or else the last
// service.
func middleService(d deployment.Deployment) string {
	for _, service := range d.Services {
		for _, call := range service.Calls {
			if callee, _ := d.Service(call.Service); len(callee.Calls) > 0 {
				return callee.Name
			}
		}
	}
	return d.Services[len(d.Services)-1].Name
}

func slowMiddleService(d deployment.Deployment, s System) {
	s.Fleet().SlowDown(middleService(d), slowdownFactor)
}

func restoreMiddleService(d deployment.Deployment, s System) {
	s.Fleet().SlowDown(middleService(d), 1)
}

func slowMiddleServiceImpairment(d deployment.Deployment) []deployment.Impairment {
	return []deployment.Impairment{{Service: middleService(d), SlotShare: 1, Slowdown: slowdownFactor}}
}

func crashMiddleTarget(d deployment.Deployment, s System) {
	s.Fleet().CrashFirstTarget(middleService(d))
}

// middleTargetName returns the name of the target that crashMiddleTarget crashes.
func middleTargetName(d deployment.Deployment) string {
	return targetName(middleService(d), 0)
}

// middleTargetImpairment returns the lost capacity while the first target of the middle service is down.
func middleTargetImpairment(d deployment.Deployment) []deployment.Impairment {
	service, _ := d.Service(middleService(d))
	remainingShare := service.SlotsLeft(func(target int) bool { return target != 0 })
	return []deployment.Impairment{{Service: service.Name, SlotShare: remainingShare, Slowdown: 1}}
}

// repeatableRoute returns the first route whose requests may be repeated, or else the first route.
func repeatableRoute(d deployment.Deployment) load.Route {
	routes := Routes(d)
	return routes[max(slices.IndexFunc(routes, func(r load.Route) bool { return r.Repeatable }), 0)]
}

// crashingRequestImpairment returns the loss that no system can avoid: the first backend server that runs the crashing
// request.
func crashingRequestImpairment(d deployment.Deployment) []deployment.Impairment {
	service, _ := d.Service(repeatableRoute(d).Service)
	remainingShare := service.SlotsLeft(func(target int) bool { return target != 0 })
	return []deployment.Impairment{{Service: service.Name, SlotShare: remainingShare, Slowdown: 1}}
}

// crashingArrival returns the service and the arrival that crash backend servers: the first arrival of the crashing
// route after the trigger begins.
func (s Scenario) crashingArrival(d deployment.Deployment, plan load.Plan, times Times) (service string, isCrashing func(index int) bool) {
	route := s.crashingRoute(d)
	first := slices.IndexFunc(plan.Arrivals(), func(a load.Arrival) bool {
		return a.At >= times.Before && plan.Routes[a.Route].Name == route.Name
	})
	return route.Service, func(index int) bool { return index == first }
}

func distortReports(_ deployment.Deployment, s System) {
	s.Fleet().DistortReports()
}

func endDistortion(_ deployment.Deployment, s System) {
	s.Fleet().EndDistortion()
}

func crashFirstDomain(d deployment.Deployment, s System) {
	s.CrashFailureDomain(d.FailureDomains[0])
}

func restoreFirstDomain(d deployment.Deployment, s System) {
	s.RestoreFailureDomain(d.FailureDomains[0])
}

// lostDomainImpairment returns the lost capacity of all services while the first failure domain is down.
func lostDomainImpairment(d deployment.Deployment) []deployment.Impairment {
	var impairments []deployment.Impairment
	for _, service := range d.Services {
		remainingShare := service.SlotsLeft(func(target int) bool { return d.FailureDomain(target) != d.FailureDomains[0] })
		impairments = append(impairments, deployment.Impairment{Service: service.Name, SlotShare: remainingShare, Slowdown: 1})
	}
	return impairments
}

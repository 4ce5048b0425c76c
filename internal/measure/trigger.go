package measure

import (
	"slices"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/load"
)

func surge(factor float64) func(deployment.Deployment, Times) []load.Phase {
	return func(_ deployment.Deployment, t Times) []load.Phase {
		return []load.Phase{{From: t.Before, To: t.End(), Factor: factor}}
	}
}

// tenant makes the largest workspace send several times its granted rate.
func tenant(d deployment.Deployment, t Times) []load.Phase {
	return []load.Phase{{From: t.Before, To: t.End(), Workspace: d.Workspaces[0].Name, Factor: tenantLimit * tenantFactor}}
}

// deep returns the service that is called by another and itself calls a third.
func deep(d deployment.Deployment) string {
	for _, service := range d.Services {
		for _, call := range service.Calls {
			if callee, _ := d.Service(call.Service); len(callee.Calls) > 0 {
				return callee.Name
			}
		}
	}
	return d.Services[len(d.Services)-1].Name
}

func slowDeep(d deployment.Deployment, s System) {
	s.Fleet().Slow(deep(d), slowdownFactor)
}

func healDeep(d deployment.Deployment, s System) {
	s.Fleet().Slow(deep(d), 1)
}

func deepImpairment(d deployment.Deployment) []deployment.Impairment {
	return []deployment.Impairment{{Service: deep(d), SlotShare: 1, Slowdown: slowdownFactor}}
}

func killDeep(d deployment.Deployment, s System) {
	s.Fleet().Kill(deep(d))
}

// firstDeep returns the target that killDeep kills.
func firstDeep(d deployment.Deployment) string {
	return targetName(deep(d), 0)
}

func oneTargetGone(d deployment.Deployment) []deployment.Impairment {
	service, _ := d.Service(deep(d))
	left := service.SlotsLeft(func(target int) bool { return target != 0 })
	return []deployment.Impairment{{Service: service.Name, SlotShare: left, Slowdown: 1}}
}

// repeatableRoute returns the first route whose requests may run again elsewhere.
func repeatableRoute(d deployment.Deployment) load.Route {
	routes := Routes(d)
	return routes[max(slices.IndexFunc(routes, func(r load.Route) bool { return r.Repeatable }), 0)]
}

// oneCrashed is what no system can avoid: the first backend server that runs the crashing request is lost.
func oneCrashed(d deployment.Deployment) []deployment.Impairment {
	service, _ := d.Service(repeatableRoute(d).Service)
	left := service.SlotsLeft(func(target int) bool { return target != 0 })
	return []deployment.Impairment{{Service: service.Name, SlotShare: left, Slowdown: 1}}
}

// crashes returns which arrival crashes backend servers: the first of its route within the trigger.
func (s Scenario) crashes(d deployment.Deployment, plan load.Plan, times Times) (service string, crashing func(index int) bool) {
	route := s.crashing(d)
	first := slices.IndexFunc(plan.Arrivals(), func(a load.Arrival) bool {
		return a.At >= times.Before && plan.Routes[a.Route].Name == route.Name
	})
	return route.Service, func(index int) bool { return index == first }
}

func lie(_ deployment.Deployment, s System) {
	s.Fleet().Lie()
}

func tellTruth(_ deployment.Deployment, s System) {
	s.Fleet().TellTruth()
}

func loseDomain(d deployment.Deployment, s System) {
	s.Lose(d.FailureDomains[0])
}

func restoreDomain(d deployment.Deployment, s System) {
	s.Restore(d.FailureDomains[0])
}

func oneDomainGone(d deployment.Deployment) []deployment.Impairment {
	var impaired []deployment.Impairment
	for _, service := range d.Services {
		left := service.SlotsLeft(func(target int) bool { return d.FailureDomain(target) != d.FailureDomains[0] })
		impaired = append(impaired, deployment.Impairment{Service: service.Name, SlotShare: left, Slowdown: 1})
	}
	return impaired
}

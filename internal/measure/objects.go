package measure

import (
	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/load"
	"sapphirespread.example/key"
)

const (
	maxExtraAttempts    = 2
	retryBudgetShare    = 0.1
	minRetriesPerSecond = 1
	limitSuffix         = "-limit"
	keySuffix           = "-key"
)

// Objects returns the configuration set for a deployment and its workspaces with their limits and keys.
func Objects(d deployment.Deployment, workspaces []load.Workspace) configuration.Set {
	var set configuration.Set
	for _, w := range workspaces {
		limit := w.Name + limitSuffix
		set.Limits = append(set.Limits, configuration.Limit{Name: limit, Rate: w.Limit.Rate, Burst: w.Limit.Burst})
		set.Workspaces = append(set.Workspaces, configuration.Workspace{Name: w.Name, Limit: limit, Share: 1})
		set.Keys = append(set.Keys, configuration.Key{Name: w.Name + keySuffix, Workspace: w.Name, Hash: key.Hash(w.Key)})
	}
	for _, service := range d.Services {
		set.Services = append(set.Services, configuration.Service{
			Name: service.Name, RetryBudget: retryBudgetShare, MinimumRetriesPerSecond: minRetriesPerSecond,
		})
	}
	seenPriorities := make(map[string]bool)
	for _, route := range d.Routes {
		if !seenPriorities[route.Priority.Name] {
			seenPriorities[route.Priority.Name] = true
			set.Priorities = append(set.Priorities, configuration.Priority{Name: route.Priority.Name, Level: route.Priority.Level})
		}
		set.Routes = append(set.Routes, configuration.Route{
			Name: route.Name, Path: route.Path, Methods: []string{route.Method}, Service: route.Service,
			Priority: route.Priority.Name, Deadline: route.Deadline, Repeatable: route.Repeatable, ExtraAttempts: maxExtraAttempts,
		})
	}
	return set
}

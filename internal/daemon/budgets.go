package daemon

import (
	"sync"

	"sapphirespread.example/configuration"
	"sapphirespread.example/retry"
)

// A budgets holds the retry budget of each service.
type budgets struct {
	mu        sync.RWMutex
	byService map[string]*serviceBudget
}

type serviceBudget struct {
	budget  *retry.Budget
	share   float64
	minimum float64
}

func newBudgets() *budgets {
	return &budgets{byService: make(map[string]*serviceBudget)}
}

// reconfigure makes new budgets for the services whose settings changed.
func (b *budgets) reconfigure(snapshot configuration.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, service := range snapshot.Set.Services {
		current := b.byService[service.Name]
		if current != nil && current.share == service.RetryBudget && current.minimum == service.MinimumRetriesPerSecond {
			continue
		}
		b.byService[service.Name] = newServiceBudget(service)
	}
}

func newServiceBudget(service configuration.Service) *serviceBudget {
	return &serviceBudget{
		budget:  retry.NewBudget(service.RetryBudget, service.MinimumRetriesPerSecond),
		share:   service.RetryBudget,
		minimum: service.MinimumRetriesPerSecond,
	}
}

// of returns the budget of service; an unknown service may not be retried.
func (b *budgets) of(service string) *retry.Budget {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if known := b.byService[service]; known != nil {
		return known.budget
	}
	return retry.NewBudget(0, 0)
}

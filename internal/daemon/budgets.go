package daemon

import (
	"sync"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/trace"
	"sapphirespread.example/retry"
)

// budgets holds the retry budget of each service.
type budgets struct {
	mu        sync.RWMutex
	recorder  *trace.Recorder
	byService map[string]*serviceBudget
}

// A serviceBudget is a retry budget with the settings that it was created from.
type serviceBudget struct {
	budget  retryBudget
	share   float64
	minimum float64
}

func newBudgets(recorder *trace.Recorder) *budgets {
	return &budgets{recorder: recorder, byService: make(map[string]*serviceBudget)}
}

// reconfigure replaces the budgets of the services whose retry settings changed.
func (b *budgets) reconfigure(snapshot configuration.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, service := range snapshot.Set.Services {
		current := b.byService[service.Name]
		if current != nil && current.share == service.RetryBudget && current.minimum == service.MinimumRetriesPerSecond {
			continue
		}
		b.byService[service.Name] = b.newServiceBudget(service)
	}
}

func (b *budgets) newServiceBudget(service configuration.Service) *serviceBudget {
	return &serviceBudget{
		budget:  b.newBudget(service),
		share:   service.RetryBudget,
		minimum: service.MinimumRetriesPerSecond,
	}
}

func (b *budgets) newBudget(service configuration.Service) retryBudget {
	if b.recorder == nil {
		return retry.NewBudget(service.RetryBudget, service.MinimumRetriesPerSecond)
	}
	return b.recorder.Budget(time.Now(), service.Name, service.RetryBudget, service.MinimumRetriesPerSecond)
}

// get returns the budget of service. The budget of an unknown service allows no retries.
func (b *budgets) get(service string) retryBudget {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if known := b.byService[service]; known != nil {
		return known.budget
	}
	return retry.NewBudget(0, 0)
}

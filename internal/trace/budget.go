package trace

import (
	"time"

	"sapphirespread.example/retry"
)

// A Budget records the calls of the retry.Budget of a service.
type Budget struct {
	inner   *retry.Budget
	service string
	budgets *budgets
}

// budgets orders the calls of all budgets of a daemon.
type budgets struct {
	*Stream[BudgetStep]
	start time.Time
}

// ReplayBudgets repeats steps at new budgets and returns them with what was granted. Budgets count by whole
// seconds, so start has the same part of a second as that of the recording.
func ReplayBudgets(start time.Time, steps []BudgetStep) []BudgetStep {
	all := &budgets{Stream: newStream[BudgetStep](len(steps)), start: start}
	byService := make(map[string]*Budget)
	for _, step := range steps {
		now := start.Add(step.At)
		switch step.Call {
		case SetBudget:
			byService[step.Service] = all.set(now, step.Service, step.Share, step.Minimum)
		case Success:
			byService[step.Service].Success(now)
		case Withdraw:
			byService[step.Service].Withdraw(now)
		}
	}
	return all.Steps()
}

// set makes the budget of a service.
func (b *budgets) set(now time.Time, service string, share, minimum float64) *Budget {
	b.add(BudgetStep{At: b.offset(now), Call: SetBudget, Service: service, Share: share, Minimum: minimum})
	return &Budget{inner: retry.NewBudget(share, minimum), service: service, budgets: b}
}

// offset goes by the wall clock, as the budgets do.
func (b *budgets) offset(now time.Time) time.Duration {
	return now.Round(0).Sub(b.start.Round(0))
}

// Success records a success.
func (b *Budget) Success(now time.Time) {
	b.budgets.do(func() BudgetStep {
		b.inner.Success(now)
		return BudgetStep{At: b.budgets.offset(now), Call: Success, Service: b.service}
	})
}

// Withdraw records a retry that was asked for.
func (b *Budget) Withdraw(now time.Time) bool {
	step := b.budgets.do(func() BudgetStep {
		return BudgetStep{At: b.budgets.offset(now), Call: Withdraw, Service: b.service, Granted: b.inner.Withdraw(now)}
	})
	return step.Granted
}

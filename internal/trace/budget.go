package trace

import (
	"time"

	"sapphirespread.example/retry"
)

// A Budget records the calls to the retry.Budget of a service.
type Budget struct {
	inner   *retry.Budget
	service string
	stream  *budgetStream
}

// A budgetStream records the calls to all retry budgets of a daemon in one order.
type budgetStream struct {
	*Stream[BudgetStep]
	start time.Time
}

// ReplayBudgets replays steps against new retry budgets and returns them with the resulting decisions. Budgets count
// in whole seconds, so start must have the same fraction of a second as the start of the recording.
func ReplayBudgets(start time.Time, steps []BudgetStep) []BudgetStep {
	stream := &budgetStream{Stream: newStream[BudgetStep](len(steps)), start: start}
	byService := make(map[string]*Budget)
	for _, step := range steps {
		now := start.Add(step.At)
		switch step.Call {
		case SetBudget:
			byService[step.Service] = stream.newBudget(now, step.Service, step.Share, step.Minimum)
		case Success:
			byService[step.Service].Success(now)
		case Withdraw:
			byService[step.Service].Withdraw(now)
		case Charge:
			byService[step.Service].Charge(now)
		}
	}
	return stream.Steps()
}

// newBudget creates the budget of a service and records its settings.
func (b *budgetStream) newBudget(now time.Time, service string, share, minimum float64) *Budget {
	b.add(BudgetStep{At: b.wallOffset(now), Call: SetBudget, Service: service, Share: share, Minimum: minimum})
	return &Budget{inner: retry.NewBudget(share, minimum), service: service, stream: b}
}

// wallOffset returns the wall-clock time since the start of the recording. Budgets use the wall clock too.
func (b *budgetStream) wallOffset(now time.Time) time.Duration {
	return now.Round(0).Sub(b.start.Round(0))
}

// Success counts a successful call towards the budget and records the call.
func (b *Budget) Success(now time.Time) {
	b.stream.recordCall(func() BudgetStep {
		b.inner.Success(now)
		return BudgetStep{At: b.stream.wallOffset(now), Call: Success, Service: b.service}
	})
}

// Withdraw uses up one retry if the budget allows it, reports whether it did, and records the call.
func (b *Budget) Withdraw(now time.Time) bool {
	step := b.stream.recordCall(func() BudgetStep {
		return BudgetStep{At: b.stream.wallOffset(now), Call: Withdraw, Service: b.service, Granted: b.inner.Withdraw(now)}
	})
	return step.Granted
}

// Charge records a call of a repeated run above the service, in the budget and as a step.
func (b *Budget) Charge(now time.Time) {
	b.stream.recordCall(func() BudgetStep {
		b.inner.Charge(now)
		return BudgetStep{At: b.stream.wallOffset(now), Call: Charge, Service: b.service}
	})
}

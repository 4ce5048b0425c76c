package retry

import (
	"sync"
	"time"
)

const (
	budgetSlots      = 10
	budgetSlotLength = time.Second
	budgetWindow     = budgetSlots * budgetSlotLength
)

// A Budget limits the retries to one service, together with the calls of repeated runs above it, to a share of the
// successful calls within the last 10 s, plus a minimum rate. It is safe for concurrent use.
type Budget struct {
	share   float64
	minimum float64 // retries per second

	mu         sync.Mutex
	newestSlot int64 // number of the newest slot since the Unix epoch
	slots      [budgetSlots]budgetCounts
	total      budgetCounts
}

type budgetCounts struct {
	successes int64
	retries   int64
}

// NewBudget returns a Budget that allows retries for the given share of successful calls, plus minimum
// retries per second. Negative values count as 0.
func NewBudget(share, minimum float64) *Budget {
	return &Budget{share: max(share, 0), minimum: max(minimum, 0)}
}

// Success records a successful call.
func (b *Budget) Success(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.slots[b.newestSlot%budgetSlots].successes++
	b.total.successes++
}

// Withdraw uses up one retry and reports whether the budget allowed it.
func (b *Budget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	allowed := b.share*float64(b.total.successes) + b.minimum*budgetWindow.Seconds()
	if float64(b.total.retries)+1 > allowed {
		return false
	}
	b.slots[b.newestSlot%budgetSlots].retries++
	b.total.retries++
	return true
}

// Charge records a call that the service gets because a run above it was a repeat. It counts like a retry, and is never
// refused.
func (b *Budget) Charge(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.slots[b.newestSlot%budgetSlots].retries++
	b.total.retries++
}

// advance removes the slots that have left the window. If the clock goes back, the newest slot stays
// current.
func (b *Budget) advance(now time.Time) {
	slot := now.UnixNano() / int64(budgetSlotLength)
	if slot <= b.newestSlot {
		return
	}
	steps := min(slot-b.newestSlot, budgetSlots)
	for i := range steps {
		expired := &b.slots[(slot-i)%budgetSlots]
		b.total.successes -= expired.successes
		b.total.retries -= expired.retries
		*expired = budgetCounts{}
	}
	b.newestSlot = slot
}

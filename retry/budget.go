package retry

import (
	"sync"
	"time"
)

const (
	budgetSlots  = 10
	budgetSlot   = time.Second
	budgetWindow = budgetSlots * budgetSlot
)

// A Budget bounds the retries towards one service to a share of its successes within the last 10 s, plus
// a minimum. It is safe for concurrent use.
type Budget struct {
	share   float64
	minimum float64

	mu      sync.Mutex
	current int64 // number of the newest slot
	slots   [budgetSlots]budgetCount
	total   budgetCount
}

type budgetCount struct {
	successes int64
	retries   int64
}

// NewBudget returns a budget of share of the successes and of minimum retries a second.
func NewBudget(share, minimum float64) *Budget {
	return &Budget{share: max(share, 0), minimum: max(minimum, 0)}
}

// Success notes a call that was answered well.
func (b *Budget) Success(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.slots[b.current%budgetSlots].successes++
	b.total.successes++
}

// Withdraw takes one retry, or reports false where the budget has none left.
func (b *Budget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	allowed := b.share*float64(b.total.successes) + b.minimum*budgetWindow.Seconds()
	if float64(b.total.retries)+1 > allowed {
		return false
	}
	b.slots[b.current%budgetSlots].retries++
	b.total.retries++
	return true
}

// advance drops the slots that have left the window; time that goes back counts as the newest slot.
func (b *Budget) advance(now time.Time) {
	slot := now.UnixNano() / int64(budgetSlot)
	if slot <= b.current {
		return
	}
	steps := min(slot-b.current, budgetSlots)
	for i := range steps {
		old := &b.slots[(slot-i)%budgetSlots]
		b.total.successes -= old.successes
		b.total.retries -= old.retries
		*old = budgetCount{}
	}
	b.current = slot
}

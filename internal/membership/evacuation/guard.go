package evacuation

import (
	"sync/atomic"
	"time"
)

// refusalDelay exceeds the time in which the leader tells an order to all daemons that are attached, so that their calls
// move away without a refusal.
const refusalDelay = time.Second

// A Guard decides when the daemon of a target refuses calls because its own failure domain is out of use. That stops
// callers that don't know of the order. It is safe for concurrent use, but its updates must be in order.
type Guard struct {
	domain      string
	refusesFrom atomic.Pointer[time.Time] // nil while the failure domain is in use
}

// NewGuard returns the guard of a target in a failure domain, which refuses nothing.
func NewGuard(domain string) *Guard { return &Guard{domain: domain} }

// Update takes the state that the daemon's view has taken.
func (g *Guard) Update(now time.Time, s State) {
	if !s.Out(g.domain) {
		g.refusesFrom.Store(nil)
		return
	}
	if g.refusesFrom.Load() == nil {
		from := now.Add(refusalDelay - s.Age)
		g.refusesFrom.Store(&from)
	}
}

// Refuses reports whether calls are refused.
func (g *Guard) Refuses(now time.Time) bool {
	from := g.refusesFrom.Load()
	return from != nil && !now.Before(*from)
}

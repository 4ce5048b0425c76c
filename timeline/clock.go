package timeline

import (
	"sync"
	"time"
)

// maxClockLead keeps a process whose clock is far ahead from advancing the clocks of all others.
const maxClockLead = time.Minute

// A Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// NewClock returns a Clock with the zero Stamp as its last reading.
func NewClock() *Clock {
	return &Clock{}
}

// Now returns a Stamp that is later than all stamps that the clock has returned or observed.
func (c *Clock) Now(now time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = now.Round(0)
	if now.After(c.last.Wall) {
		c.last = Stamp{Wall: now}
		return c.last
	}
	c.last.Logical++
	return c.last
}

// Observe advances the clock to a stamp received from another process. It ignores a stamp that is more than a minute
// ahead of now.
func (c *Clock) Observe(now time.Time, stamp Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stamp.Wall.Sub(now) > maxClockLead {
		return
	}
	if stamp.Compare(c.last) > 0 {
		c.last = stamp
	}
}

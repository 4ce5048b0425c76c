package timeline

import (
	"sync"
	"time"
)

const maxClockLead = time.Minute

// A Clock is a hybrid logical clock, safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock that has read nothing yet.
func NewClock() *Clock {
	return &Clock{}
}

// Now returns a stamp later than all earlier stamps of this clock and all observed ones.
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

// Observe advances the clock to a stamp of another process; one that leads now by more than a minute is ignored.
func (c *Clock) Observe(now time.Time, seen Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seen.Wall.Sub(now) > maxClockLead {
		return
	}
	if seen.Compare(c.last) > 0 {
		c.last = seen
	}
}

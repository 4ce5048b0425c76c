package pace

import "time"

const (
	// coldMargin covers the delay between the time at which an announcement was written and its arrival.
	coldMargin = 250 * time.Millisecond
	// idleUnsure is the time without a start after which an earlier announcement no longer shows that a server is warm.
	// It exceeds the time for which the bound of a second may hold requests.
	idleUnsure = 1500 * time.Millisecond
	coldBurst  = 2 // starts at once, in addition to the rate
)

// cold bounds the starts of a cold backend server. The bound holds for any span of a second: it counts the starts before the
// server was known to be cold, and after a restart of the daemon it assumes that the bound was just used up.
type cold struct {
	rate      float64 // starts per second while cold, 0 if the configuration sets no bound
	duration  time.Duration
	until     time.Time
	sureAfter time.Time // when a server that was idle is no longer taken to be cold
	starts    startWindow
}

// configure sets the allowed starts per second of a cold server and how long a server is cold after its start. A daemon that
// learns of a bound may have been restarted, so what its predecessor may have started within the last second is counted.
func (c *cold) configure(now time.Time, rate float64, duration time.Duration) {
	if c.rate <= 0 && rate > 0 {
		c.starts.fill(now, int(rate)+coldBurst)
	}
	c.rate, c.duration = rate, duration
}

// hear applies an announcement.
func (c *cold) hear(now time.Time, w Word) {
	if c.starts.last.IsZero() {
		c.starts.last = now // a server that this daemon didn't know may have been in use
	}
	c.sureAfter = time.Time{}
	c.until = time.Time{}
	if w.ColdLeft > 0 {
		c.until = now.Add(w.ColdLeft + coldMargin)
	}
}

// started counts a start. After an idle time the server may have turned cold unheard.
func (c *cold) started(now time.Time) {
	if c.rate > 0 && now.Sub(c.starts.last) > idleUnsure {
		c.sureAfter = now.Add(c.duration)
	}
	c.starts.add(now)
}

// active reports whether the server is bounded at now.
func (c *cold) active(now time.Time) bool {
	return c.rate > 0 && (now.Before(c.until) || now.Before(c.sureAfter))
}

// left returns how long the server is still known or taken to be cold.
func (c *cold) left(now time.Time) time.Duration {
	if !c.active(now) {
		return 0
	}
	return max(c.until.Sub(now), c.sureAfter.Sub(now))
}

// allows reports whether one more start keeps the bound.
func (c *cold) allows(now time.Time) bool {
	return !c.active(now) || float64(c.starts.count(now)) < c.rate+coldBurst
}

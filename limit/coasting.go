package limit

import "time"

const (
	// coastAfter is some times the round trip to an owner, and below the life of a grant.
	coastAfter = 100 * time.Millisecond
	// coastBurst is for how long unspent tokens gather, in seconds of the rate: a workspace that asks a few times a second
	// does so unevenly. What is spent in all stays within the rate times the silence.
	coastBurst = 1.0
	// steadyTimeConstant is long enough for the rate of small workspaces.
	steadyTimeConstant = 2 * time.Second
)

// A coasting is what a workspace may spend without its owner.
type coasting struct {
	rate      float64 // tokens per second that were spent, with the owner or without; less by seen
	seen      float64 // share of the rate that observations make up so far, from 0 to 1
	tokens    float64
	settledAt time.Time
}

// observe follows the rate at which tokens are spent.
func (c *coasting) observe(elapsed time.Duration, observed float64) {
	weight := float64(elapsed) / float64(elapsed+steadyTimeConstant)
	c.rate += weight * (observed - c.rate)
	c.seen += weight * (1 - c.seen)
}

// expected returns the rate without the bias of its first seconds.
func (c *coasting) expected() float64 {
	if c.seen == 0 {
		return 0
	}
	return c.rate / c.seen
}

// spend takes tokens of what has gathered since the owner fell silent.
func (c *coasting) spend(now time.Time, tokens int64, silent time.Duration) bool {
	since := now.Add(-silent)
	if c.settledAt.Before(since) {
		c.settledAt = since
		c.tokens = 1
	}
	elapsed := now.Sub(c.settledAt).Seconds()
	c.settledAt = now
	rate := c.expected()
	c.tokens = min(c.tokens+rate*elapsed, 1+coastBurst*rate)
	if c.tokens < float64(tokens) {
		return false
	}
	c.tokens -= float64(tokens)
	return true
}

// coasts spends without the owner where that has been silent, but not for longer than until.
func (a *account) coasts(now time.Time, tokens int64, silent, until time.Duration) bool {
	if silent < coastAfter || silent >= until {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.coasting.spend(now, tokens, silent) {
		return false
	}
	a.spent += tokens
	return true
}

package limit

import "time"

const (
	// coastAfter is some times the round trip to an owner, and below the life of a grant.
	coastAfter = 100 * time.Millisecond
	// coastShare keeps the fleet below its rate where demand falls meanwhile.
	coastShare = 0.9
	// coastBurst is how much of a second's rate may gather.
	coastBurst = 0.1
	// steadyTimeConstant is long enough for the rate of small workspaces.
	steadyTimeConstant = 2 * time.Second
)

// A coasting is what a workspace may spend without its owner.
type coasting struct {
	rate      float64 // tokens per second, observed while the owner answered
	tokens    float64
	settledAt time.Time
}

// observe follows the rate at which tokens are spent.
func (c *coasting) observe(elapsed time.Duration, observed float64) {
	weight := float64(elapsed) / float64(elapsed+steadyTimeConstant)
	c.rate += weight * (observed - c.rate)
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
	c.tokens = min(c.tokens+coastShare*c.rate*elapsed, 1+coastBurst*c.rate)
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
	return a.coasting.spend(now, tokens, silent)
}

package pace

import (
	"time"

	"sapphirespread.example/priority"
)

const (
	minRate       = 1.0 // starts per second, so that a server that recovers is noticed
	startPerSlot  = 0.125
	minStartRate  = 4.0
	growth        = 2.0
	nearGrowth    = 1.25 // near the rate at which the server failed or slowed
	nearCeiling   = 0.75
	fallback      = 0.5
	burstDuration = 100 * time.Millisecond // of starts at the current rate
	latencySlack  = 5 * time.Millisecond   // keeps the noise of short runs from looking like crowding
	// maxHealthyRamp is how long a ramp lasts without a failed round. Beyond it, a server that is slower than at its best
	// is left to the concurrency limit.
	maxHealthyRamp = 10 * time.Second
	// sufficientFactor is the rate relative to the demand of all callers at which a ramp is over.
	sufficientFactor = 2.0
)

// ramp is the rate learned from answers.
type ramp struct {
	active  bool
	rate    float64 // starts per second
	first   float64 // the rate at which the ramp began
	ceiling float64 // the rate at which the server failed or slowed, 0 if it did at none or at all
	tokens  float64
	filled  time.Time
	round   round
	healthy time.Time // when the last failed round ended, or the ramp began
	judged  bool      // the last round didn't fail
	failed  bool      // the last round failed
	best    bestLatencies
}

// begin starts a ramp at rate.
func (r *ramp) begin(now time.Time, rate float64) {
	best := r.best
	if best == nil {
		best = make(bestLatencies)
	}
	clear(best)
	rate = max(rate, minRate)
	*r = ramp{active: true, rate: rate, first: rate, tokens: 1, filled: now, round: round{start: now}, healthy: now, best: best}
}

// refill adds the tokens since the last call, at a rate of at most bound.
func (r *ramp) refill(now time.Time, bound float64) {
	rate := min(r.rate, bound)
	if elapsed := now.Sub(r.filled); elapsed > 0 {
		r.tokens = min(r.tokens+rate*elapsed.Seconds(), max(1, rate*burstDuration.Seconds()))
		r.filled = now
	}
}

// ended records the end of a run, with the number of runs at that time, and returns the verdict on its round.
func (r *ramp) ended(now time.Time, route string, result priority.Result, running int, bound float64) verdict {
	slowness, crowding := 1.0, 1.0
	if result.Cause == priority.CauseNone {
		slowness, crowding = r.best.observe(route, result.Latency-result.Nested+latencySlack, running)
	}
	v := r.round.add(now, slowness, crowding, result)
	if v == undecided {
		return v
	}
	r.round = round{start: now}
	switch v {
	case good:
		r.raise(bound)
	case crowded:
		r.ceiling = r.rate
		r.lower(bound)
	case failed:
		r.ceiling = r.rate
		if r.failed {
			r.ceiling = 0 // a server that fails at any rate says nothing about how much it bears
		}
		r.lower(bound)
		r.healthy = now
	}
	r.judged, r.failed = v != failed, v == failed
	return v
}

// isHealthy reports whether rounds have ended without failing for maxHealthyRamp.
func (r *ramp) isHealthy(now time.Time) bool {
	return r.judged && now.Sub(r.healthy) >= maxHealthyRamp
}

// raise raises the rate, to at most bound. Below the first rate it returns there.
func (r *ramp) raise(bound float64) {
	factor := growth
	if r.rate > r.ceiling {
		r.ceiling = 0
	} else if r.rate*growth > nearCeiling*r.ceiling {
		factor = nearGrowth
	}
	raised := r.rate * factor
	if r.ceiling == 0 {
		raised = max(raised, r.first)
	}
	r.rate = min(raised, max(bound, minRate))
}

// lower reduces the rate.
func (r *ramp) lower(bound float64) {
	r.rate = max(minRate, min(r.rate, bound)*fallback)
	r.tokens = min(r.tokens, 0)
}

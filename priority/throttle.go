package priority

import (
	"math"
	"time"
)

const (
	// throttleMemory spans a chain of calls some deep.
	throttleMemory = time.Second
	// throttleMultiple is how many requests are let through for each that is answered well. Where failures have nothing to
	// do with load, a thirty-second of the requests at most loses an answer that it would have had.
	throttleMultiple = 8.0
	// throttleSlack is the number of requests that are let through without any answer, so that a rare route is not refused.
	throttleSlack = 5.0
)

// A Throttle refuses requests while nearly all of those like them fail after they have run, which leaves what they would
// cost to others. The caller holds one lock around all calls.
type Throttle struct {
	callees map[Callee]*throttled
}

// throttled counts the requests of one callee with an exponential memory.
type throttled struct {
	at        time.Time
	offered   float64
	succeeded float64
}

// NewThrottle returns a throttle that refuses nothing.
func NewThrottle() *Throttle {
	return &Throttle{callees: make(map[Callee]*throttled)}
}

// Refuses tells whether a request of callee is refused: random, in [0, 1), picks which are let through.
func (t *Throttle) Refuses(now time.Time, callee Callee, random float64) bool {
	counts := t.of(now, callee)
	if counts == nil || random*counts.offered >= counts.offered-throttleSlack-throttleMultiple*counts.succeeded {
		return false
	}
	counts.offered++
	return true
}

// Ended notes whether a request of callee that was let through and ran was answered well.
func (t *Throttle) Ended(now time.Time, callee Callee, succeeded bool) {
	counts := t.of(now, callee)
	if counts == nil {
		return
	}
	counts.offered++
	if succeeded {
		counts.succeeded++
	}
}

// Lately returns how many requests of callee ran or were refused here in the last seconds, and how many were answered well.
func (t *Throttle) Lately(now time.Time, callee Callee) (offered, succeeded float64) {
	if counts := t.of(now, callee); counts != nil {
		return counts.offered, counts.succeeded
	}
	return 0, 0
}

// of returns the counts of callee as they have faded until now, or nil beyond the bound of callees.
func (t *Throttle) of(now time.Time, callee Callee) *throttled {
	counts, known := t.callees[callee]
	if !known {
		if len(t.callees) >= routesMaximum {
			return nil
		}
		counts = &throttled{at: now}
		t.callees[callee] = counts
	}
	if elapsed := now.Sub(counts.at); elapsed > 0 {
		kept := math.Exp(-float64(elapsed) / float64(throttleMemory))
		counts.offered *= kept
		counts.succeeded *= kept
		counts.at = now
	}
	return counts
}

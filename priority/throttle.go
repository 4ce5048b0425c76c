package priority

import (
	"math"
	"time"
)

const (
	// throttleTimeConstant is the decay time constant of the counts. It covers a call chain several levels deep.
	throttleTimeConstant = time.Second
	// throttleMultiplier is the number of requests let through per successful one. If failures are unrelated to
	// load, at most 1/32 of the requests are refused although they would have succeeded.
	throttleMultiplier = 8.0
	// throttleMinimum is the number of requests let through without any success, so that rare routes are not
	// refused.
	throttleMinimum = 5.0
)

// A Throttle refuses requests to a callee while nearly all of them fail after running, so that their
// capacity is available to other requests. The caller must serialize all calls with one lock.
type Throttle struct {
	callees map[Callee]*calleeCounts
}

// calleeCounts holds exponentially decaying request counts of one callee.
type calleeCounts struct {
	updatedAt time.Time
	offered   float64
	succeeded float64
}

// NewThrottle returns a Throttle without observations, which refuses nothing.
func NewThrottle() *Throttle {
	return &Throttle{callees: make(map[Callee]*calleeCounts)}
}

// ShouldRefuse reports whether to refuse a request to callee. random, in [0, 1), selects the requests that are
// let through.
func (t *Throttle) ShouldRefuse(now time.Time, callee Callee, random float64) bool {
	counts := t.countsFor(now, callee)
	if counts == nil || random*counts.offered >= counts.offered-throttleMinimum-throttleMultiplier*counts.succeeded {
		return false
	}
	counts.offered++
	return true
}

// RecordResult records whether a request to callee that was let through and ran succeeded.
func (t *Throttle) RecordResult(now time.Time, callee Callee, succeeded bool) {
	counts := t.countsFor(now, callee)
	if counts == nil {
		return
	}
	counts.offered++
	if succeeded {
		counts.succeeded++
	}
}

// RecentCounts returns the decayed counts of requests to callee that ran or were refused, and of those that
// succeeded.
func (t *Throttle) RecentCounts(now time.Time, callee Callee) (offered, succeeded float64) {
	if counts := t.countsFor(now, callee); counts != nil {
		return counts.offered, counts.succeeded
	}
	return 0, 0
}

// countsFor returns the counts of callee decayed to now, or nil if the maximum number of callees is reached.
func (t *Throttle) countsFor(now time.Time, callee Callee) *calleeCounts {
	counts, known := t.callees[callee]
	if !known {
		if len(t.callees) >= maxRoutes {
			return nil
		}
		counts = &calleeCounts{updatedAt: now}
		t.callees[callee] = counts
	}
	if elapsed := now.Sub(counts.updatedAt); elapsed > 0 {
		decay := math.Exp(-float64(elapsed) / float64(throttleTimeConstant))
		counts.offered *= decay
		counts.succeeded *= decay
		counts.updatedAt = now
	}
	return counts
}

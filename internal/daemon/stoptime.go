package daemon

import (
	"math"
	"sync/atomic"
	"time"

	"sapphirespread.example/internal/routing/completion"
	"sapphirespread.example/priority"
	"sapphirespread.example/refusal"
)

const (
	// runEndMargin is the time before the end of a stop at which a target must have answered, for the answer's way back.
	runEndMargin = 50 * time.Millisecond
	// maxKnownCallees is above the number of routes of a set of the largest size.
	maxKnownCallees = 16384
)

// stopTime decides what a stopping daemon may still send to targets. A call that is begun too late to end would be broken
// off at work, with an unknown outcome; refused, it is certain not to have run.
type stopTime struct {
	end       atomic.Pointer[time.Time] // nil before the stop
	durations *completion.Durations[priority.Callee]
}

func newStopTime() *stopTime {
	return &stopTime{durations: completion.NewDurations[priority.Callee](maxKnownCallees)}
}

// begin starts a stop that breaks off what is still in flight at end.
func (s *stopTime) begin(end time.Time) {
	s.end.Store(&end)
}

// limit returns the earlier of a deadline and the time at which a target must have answered a call that is sent now.
func (s *stopTime) limit(deadline time.Time) time.Time {
	end := s.end.Load()
	if end == nil {
		return deadline
	}
	return earlier(deadline, end.Add(-runEndMargin))
}

// check refuses c if it is not expected to end before the stop does. While callers have notice, most calls must be expected
// to; afterwards, when only nested calls of running requests are left, nearly all.
func (s *stopTime) check(c *call, hasNotice bool) *attemptError {
	if s.end.Load() == nil {
		return nil
	}
	now := time.Now()
	expected := s.expect(c, hasNotice)
	if s.limit(c.deadline).Sub(now) >= max(min(expected, c.remaining(now)), 0) {
		return nil
	}
	return refuse(refusal.Draining, "it would not end before the instance stops")
}

// expect returns the time that c is expected to take. Without experience with its callee that is nothing while callers have
// notice, and afterwards the objective of the route, or else all the time that c has.
func (s *stopTime) expect(c *call, hasNotice bool) time.Duration {
	mean, bound, known := s.durations.Expect(c.callee())
	switch {
	case hasNotice:
		return mean
	case known:
		return bound
	case c.objective > 0:
		return c.objective
	default:
		return math.MaxInt64
	}
}

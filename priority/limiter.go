package priority

import "time"

const (
	limitFloor      = 2.0
	limitCeiling    = 8.0 // in announced slots
	rampDivisor     = 4.0 // a cold start begins at this part of the slots
	windowMinimum   = 50 * time.Millisecond
	windowMaximum   = time.Second
	windowRuns      = 50
	windowMeanError = 0.03
	windowLatencies = 2
	windowFewRuns   = 8
	saturatedShare  = 0.8
	unusedDecay     = 0.9
	unusedHeadroom  = 2.0
	latencyRise     = 2.5 // over the best recent latency: a sign of queueing in the backend server
	latencySlack    = 1.2 // over the best recent latency: fewer runs at a time can't be faster below
	failureRise     = 0.1 // share of failed runs that is taken for too many at a time
)

// limiter sets the concurrency limit. While the limit holds requests back it tries another one for a
// window, and keeps it where the throughput of successes confirms it; latency and failures only hint which
// way to try, so neither a slow service below nor wrongly announced slots mislead it.
type limiter struct {
	limit       float64
	slots       int
	ramping     bool
	best        bestLatency
	window      window
	steady      float64 // throughput at the limit that is not on trial
	steadyError float64 // its standard error as a share of it
	trial       trial
}

func newLimiter(slots int) *limiter {
	l := &limiter{}
	l.begin(slots)
	return l
}

func (l *limiter) begin(slots int) {
	l.slots = max(slots, 1)
	l.limit = max(limitFloor, float64(l.slots)/rampDivisor)
	l.ramping = true
}

// announce starts over while nothing was learnt; later it only moves the ceiling.
func (l *limiter) announce(slots int) {
	if slots <= 0 || slots == l.slots {
		return
	}
	if l.best.latency == 0 {
		l.begin(slots)
		return
	}
	l.slots = slots
}

func (l *limiter) current() int {
	return int(l.limit)
}

// done takes one finished run; queued tells whether others wait for its slot.
func (l *limiter) done(now time.Time, result Result, inFlight int, queued bool) {
	if l.window.start.IsZero() {
		l.window.start = now
	}
	l.window.add(result, inFlight, queued)
	if l.ramping && !result.Failed {
		l.ramp()
	}
	if l.windowEnds(now) {
		l.close(now)
	}
}

// ramp doubles the limit with each round of successes up to the announced slots.
func (l *limiter) ramp() {
	l.limit++
	if l.limit >= float64(l.slots) {
		l.limit = max(limitFloor, float64(l.slots))
		l.ramping = false
	}
}

func (l *limiter) windowEnds(now time.Time) bool {
	elapsed := now.Sub(l.window.start)
	if l.trial.settling {
		return elapsed >= l.window.meanLatency()
	}
	if l.failsEarly() {
		return true
	}
	if elapsed >= windowMaximum {
		return l.window.finished >= windowFewRuns
	}
	return elapsed >= windowMinimum && elapsed >= windowLatencies*l.window.meanLatency() &&
		l.window.finished >= windowRuns && l.window.meanError() <= windowMeanError
}

func (l *limiter) close(now time.Time) {
	w := l.window
	l.window = window{start: now}
	if l.trial.settling {
		l.trial.settling = false
		return
	}
	if l.ramping {
		l.best.learn(now.Sub(w.start), w)
		return
	}
	if !w.isSaturated() {
		l.abandonTrial()
		l.best.learn(now.Sub(w.start), w)
		l.shrinkUnused(w.peak)
		return
	}
	throughput := w.throughput()
	if l.trial.running && !l.judge(now, throughput, w) {
		return
	}
	l.steady, l.steadyError = throughput, w.meanError()
	l.best.learn(now.Sub(w.start), w)
	l.propose(now, w)
}

// shrinkUnused takes back what demand doesn't use above the announced slots.
func (l *limiter) shrinkUnused(peak int) {
	wanted := max(float64(l.slots), unusedHeadroom*float64(peak))
	if l.limit > wanted {
		l.limit = max(wanted, l.limit*unusedDecay)
	}
}

func (l *limiter) clamp(limit float64) float64 {
	return min(max(limit, limitFloor), limitCeiling*float64(l.slots))
}

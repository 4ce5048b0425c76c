package priority

import "time"

const (
	minLimit             = 2.0
	maxLimitPerSlot      = 8.0 // limit per announced slot
	coldStartDivisor     = 4.0 // a cold start begins with 1/coldStartDivisor of the announced slots
	minWindow            = 50 * time.Millisecond
	maxWindow            = time.Second
	minWindowRuns        = 50
	maxWindowError       = 0.03 // relative standard error of the mean latency
	minWindowLatencies   = 2    // window length in mean latencies
	minRunsAtMaxWindow   = 8    // runs that a window of maxWindow needs to end
	minSaturatedShare    = 0.8  // of the runs in a window, for the limit to count as the bottleneck
	unusedLimitDecay     = 0.9  // per window
	unusedLimitHeadroom  = 2.0  // limit per concurrent run at the peak
	overloadLatencyRatio = 2.5  // to the best recent latency, above which the backend server is probably queueing
	baselineLatencyRatio = 1.2  // to the best recent latency, up to which a lower limit can't reduce the latency
	overloadFailureShare = 0.1  // of the runs in a window, above which the limit is probably too high
)

// limiter adapts the concurrency limit. While the limit makes requests wait, it tries another limit for one
// window and keeps it if the throughput of successful runs confirms it. Latency and failures only select the
// direction of a trial, so that neither a slow downstream service nor wrongly announced slots mislead the
// limiter.
type limiter struct {
	limit            float64
	slots            int
	ramping          bool
	best             bestLatency
	window           window
	steadyThroughput float64 // successful runs per second at the limit that is not on trial
	steadyError      float64 // relative standard error of steadyThroughput
	trial            trial
	// cautious limits trials above the announced slots to times at which more runs don't stretch the latency. Where entries
	// thin out the demand, it varies between windows, and a trial may seem to gain what the demand has gained.
	cautious bool
}

func newLimiter(slots int) *limiter {
	l := &limiter{}
	l.reset(slots)
	return l
}

func (l *limiter) reset(slots int) {
	l.slots = max(slots, 1)
	l.limit = max(minLimit, float64(l.slots)/coldStartDivisor)
	l.ramping = true
}

// announce sets the announced slots. It restarts the limiter if no latency has been observed yet, and
// otherwise only moves the upper bound of the limit.
func (l *limiter) announce(slots int) {
	if slots <= 0 || slots == l.slots {
		return
	}
	if l.best.latency == 0 {
		l.reset(slots)
		return
	}
	l.slots = slots
}

// beCautious sets cautious.
func (l *limiter) beCautious() {
	l.cautious, l.best.byMean = true, true
}

func (l *limiter) current() int {
	return int(l.limit)
}

// steady returns the limit that is not on trial.
func (l *limiter) steady() int {
	if l.trial.running {
		return int(l.trial.previousLimit)
	}
	return int(l.limit)
}

// runEnded records a finished run. queued reports whether requests wait for a slot.
func (l *limiter) runEnded(now time.Time, result Result, inFlight int, queued bool) {
	if l.window.start.IsZero() {
		l.window.start = now
	}
	l.window.add(result, inFlight, queued)
	if l.ramping && !result.Failed {
		l.ramp()
	}
	if l.windowEnded(now) {
		l.closeWindow(now)
	}
}

// ramp raises the limit by one per successful run, which doubles it in each round trip, up to the announced
// slots.
func (l *limiter) ramp() {
	l.limit++
	if l.limit >= float64(l.slots) {
		l.limit = max(minLimit, float64(l.slots))
		l.ramping = false
	}
}

func (l *limiter) windowEnded(now time.Time) bool {
	elapsed := now.Sub(l.window.start)
	if l.trial.settling {
		return elapsed >= l.window.meanLatency()
	}
	if l.trialFailsEarly() {
		return true
	}
	if elapsed >= maxWindow {
		return l.window.finished >= minRunsAtMaxWindow
	}
	return elapsed >= minWindow && elapsed >= minWindowLatencies*l.window.meanLatency() &&
		l.window.finished >= minWindowRuns && l.window.meanLatencyError() <= maxWindowError
}

func (l *limiter) closeWindow(now time.Time) {
	w := l.window
	l.window = window{start: now}
	if l.trial.settling {
		l.trial.settling = false
		return
	}
	if l.ramping {
		l.best.observe(now.Sub(w.start), w)
		return
	}
	if !w.isSaturated() {
		l.abandonTrial()
		l.best.observe(now.Sub(w.start), w)
		l.shrinkUnused(w.peakInFlight)
		return
	}
	throughput := w.throughput()
	if l.trial.running && !l.concludeTrial(now, throughput, w) {
		return
	}
	l.steadyThroughput, l.steadyError = throughput, w.meanLatencyError()
	l.best.observe(now.Sub(w.start), w)
	l.startTrial(now, w)
}

// shrinkUnused reduces a limit above the announced slots towards what the peak concurrency needs.
func (l *limiter) shrinkUnused(peak int) {
	needed := max(float64(l.slots), unusedLimitHeadroom*float64(peak))
	if l.limit > needed {
		l.limit = max(needed, l.limit*unusedLimitDecay)
	}
}

func (l *limiter) clamp(limit float64) float64 {
	return min(max(limit, minLimit), maxLimitPerSlot*float64(l.slots))
}

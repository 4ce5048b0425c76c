package priority

import (
	"math"
	"time"
)

const (
	stepUp             = 1.25
	stepUpRepeated     = 1.5 // after a successful upward trial
	stepDown           = 0.85
	stepDownOverloaded = 0.7  // on signs of overload
	minGainUp          = 0.4  // relative gain in throughput per relative change of the limit
	maxLossDown        = 0.35 // relative loss in throughput per relative change of the limit
	earlyStopLoss      = 0.6  // in the unit of maxLossDown
	earlyStopRuns      = 10
	earlyStopError     = 0.15 // maximum relative standard error of the mean latency
	minPauseUp         = 250 * time.Millisecond
	minPauseDown       = 2 * time.Second
	maxPause           = 16 * time.Second
)

// trial is the state of trials of other limits.
type trial struct {
	running       bool
	settling      bool    // runs admitted under the previous limit are still finishing
	overloaded    bool    // the trial was started on signs of overload
	climbing      bool    // the last upward trial was kept
	previousLimit float64 // restored if the trial fails
	nextUp        time.Time
	nextDown      time.Time
	upPause       time.Duration
	downPause     time.Duration
}

// startTrial starts a trial if one is due. A downward trial on signs of overload takes precedence, then an
// upward trial, then a downward trial if the latency is above its baseline.
func (l *limiter) startTrial(now time.Time, w window) {
	latencyRatio := float64(w.meanLatency()) / float64(l.best.latency)
	overloaded := latencyRatio > overloadLatencyRatio || w.failedShare() > overloadFailureShare
	downDue := !now.Before(l.trial.nextDown) && (overloaded || latencyRatio > baselineLatencyRatio)
	switch {
	case overloaded && downDue:
		l.applyTrial(stepDownOverloaded, true)
	case !now.Before(l.trial.nextUp) && l.mayTryUp(latencyRatio):
		l.applyTrial(l.trial.upFactor(), false)
	case downDue:
		l.applyTrial(stepDown, false)
	}
}

// mayTryUp reports whether an upward trial makes sense at the given ratio of the latency to the best recent one.
func (l *limiter) mayTryUp(latencyRatio float64) bool {
	return !l.cautious || l.limit < float64(l.slots) || latencyRatio <= baselineLatencyRatio
}

// upFactor returns the factor of an upward trial, which is larger after a successful one.
func (t *trial) upFactor() float64 {
	if t.climbing {
		return stepUpRepeated
	}
	return stepUp
}

// applyTrial multiplies the limit by factor, changing it by at least one, unless the limit is already at its
// bound.
func (l *limiter) applyTrial(factor float64, overloaded bool) {
	limit := l.clamp(l.limit * factor)
	if int(limit) == int(l.limit) {
		if factor < 1 {
			limit = l.clamp(l.limit - 1)
		} else {
			limit = l.clamp(l.limit + 1)
		}
	}
	if limit == l.limit {
		return
	}
	l.trial.running, l.trial.settling, l.trial.overloaded = true, true, overloaded
	l.trial.previousLimit = l.limit
	l.limit = limit
}

// trialFailsEarly reports whether a downward trial has lost so much throughput that it can end before its
// window.
func (l *limiter) trialFailsEarly() bool {
	w := &l.window
	change := l.limit/l.trial.previousLimit - 1
	return l.trial.running && change < 0 && w.finished >= earlyStopRuns && w.meanLatencyError() <= earlyStopError &&
		w.throughput()/max(l.steadyThroughput, 1e-9)-1 < earlyStopLoss*change
}

// concludeTrial keeps the limit on trial if the throughput justifies it and restores the previous one
// otherwise. It reports whether the limit was kept.
func (l *limiter) concludeTrial(now time.Time, throughput float64, w window) bool {
	t := &l.trial
	t.running = false
	change := l.limit/t.previousLimit - 1
	gain := throughput/max(l.steadyThroughput, 1e-9) - 1
	up := change > 0
	var keep bool
	combinedError := math.Hypot(l.steadyError, w.meanLatencyError())
	if up {
		keep = gain-combinedError > minGainUp*change
	} else {
		keep = gain-combinedError > maxLossDown*change
	}
	if !keep {
		l.limit = t.previousLimit
		t.settling = true
	}
	t.reschedule(now, up, keep)
	if !up && !keep && t.overloaded {
		l.best.acceptHigher(w)
	}
	return keep
}

// reschedule sets the time of the next trial in the same direction: at once after a successful trial, and
// with exponential backoff after failed ones.
func (t *trial) reschedule(now time.Time, up, kept bool) {
	t.climbing = up && kept
	if up {
		t.upPause = nextPause(t.upPause, minPauseUp, kept)
		t.nextUp = now.Add(t.upPause)
		return
	}
	t.downPause = nextPause(t.downPause, minPauseDown, kept)
	t.nextDown = now.Add(t.downPause)
}

func nextPause(pause, minimum time.Duration, kept bool) time.Duration {
	if kept {
		return 0
	}
	return min(max(2*pause, minimum), maxPause)
}

// abandonTrial restores the limit from before a running trial.
func (l *limiter) abandonTrial() {
	if l.trial.running {
		l.limit = l.trial.previousLimit
		l.trial.running = false
	}
}

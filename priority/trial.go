package priority

import (
	"math"
	"time"
)

const (
	stepUp           = 1.25
	stepUpAgain      = 1.5 // after an upward trial that was kept
	stepDown         = 0.85
	stepDownHinted   = 0.7
	gainUp           = 0.4 // of the proportional change in throughput
	lossDown         = 0.35
	lossEarly        = 0.6
	earlyRuns        = 10
	earlyMeanError   = 0.15
	pauseUpMinimum   = 250 * time.Millisecond
	pauseDownMinimum = 2 * time.Second
	pauseMaximum     = 16 * time.Second
)

// trial is one attempt at another limit.
type trial struct {
	running   bool
	settling  bool // runs that began under the old limit still end
	hinted    bool
	climbing  bool
	before    float64 // limit to go back to
	upAt      time.Time
	downAt    time.Time
	upPause   time.Duration
	downPause time.Duration
}

// propose starts a trial where one is due: downwards where there are signs of too many runs at a time,
// upwards otherwise.
func (l *limiter) propose(now time.Time, w window) {
	rise := float64(w.meanLatency()) / float64(l.best.latency)
	hinted := rise > latencyRise || w.failedShare() > failureRise
	downDue := !now.Before(l.trial.downAt) && (hinted || rise > latencySlack)
	switch {
	case hinted && downDue:
		l.try(stepDownHinted, true)
	case !now.Before(l.trial.upAt):
		l.try(l.trial.stepUp(), false)
	case downDue:
		l.try(stepDown, false)
	}
}

// stepUp is larger while upward trials are kept.
func (t *trial) stepUp() float64 {
	if t.climbing {
		return stepUpAgain
	}
	return stepUp
}

func (l *limiter) try(factor float64, hinted bool) {
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
	l.trial.running, l.trial.settling, l.trial.hinted = true, true, hinted
	l.trial.before = l.limit
	l.limit = limit
}

// failsEarly reports whether a downward trial loses throughput so clearly that its window needn't end.
func (l *limiter) failsEarly() bool {
	w := &l.window
	change := l.limit/l.trial.before - 1
	return l.trial.running && change < 0 && w.finished >= earlyRuns && w.meanError() <= earlyMeanError &&
		w.throughput()/max(l.steady, 1e-9)-1 < lossEarly*change
}

// judge keeps the limit on trial where its throughput is worth it, and reports whether it did.
func (l *limiter) judge(now time.Time, throughput float64, w window) bool {
	t := &l.trial
	t.running = false
	change := l.limit/t.before - 1
	gain := throughput/max(l.steady, 1e-9) - 1
	up := change > 0
	var keep bool
	doubt := math.Hypot(l.steadyError, w.meanError())
	if up {
		keep = gain-doubt > gainUp*change
	} else {
		keep = gain-doubt > lossDown*change
	}
	if !keep {
		l.limit = t.before
		t.settling = true
	}
	t.reschedule(now, up, keep)
	if !up && !keep && t.hinted {
		l.best.intrinsic(w)
	}
	return keep
}

// reschedule makes the next trial of a direction come sooner after a kept one and later after another.
func (t *trial) reschedule(now time.Time, up, kept bool) {
	t.climbing = up && kept
	if up {
		t.upPause = pauseAfter(t.upPause, pauseUpMinimum, kept)
		t.upAt = now.Add(t.upPause)
		return
	}
	t.downPause = pauseAfter(t.downPause, pauseDownMinimum, kept)
	t.downAt = now.Add(t.downPause)
}

func pauseAfter(pause, minimum time.Duration, kept bool) time.Duration {
	if kept {
		return 0
	}
	return min(max(2*pause, minimum), pauseMaximum)
}

func (l *limiter) abandonTrial() {
	if l.trial.running {
		l.limit = l.trial.before
		l.trial.running = false
	}
}

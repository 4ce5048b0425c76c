package priority

import "time"

const (
	stepUp          = 1.25
	stepDown        = 0.85
	stepDownHinted  = 0.7
	gainUp          = 0.4 // of the proportional change in throughput
	lossDown        = 0.35
	pauseUpMinimum  = 250 * time.Millisecond
	pauseDown       = time.Second
	pauseMaximum    = 8 * time.Second
	intrinsicMargin = 1.2
)

// trial is one attempt at another limit.
type trial struct {
	running   bool
	settling  bool // runs that began under the old limit still end
	hinted    bool
	before    float64 // limit to go back to
	upAt      time.Time
	downAt    time.Time
	upPause   time.Duration
	downPause time.Duration
}

// propose starts a trial where one is due: downwards where there are signs of too many runs at a time,
// upwards otherwise.
func (l *limiter) propose(now time.Time, w window) {
	hinted := float64(w.meanLatency()) > latencyRise*float64(l.best) || w.failedShare() > failureRise
	downDue := !now.Before(l.trial.downAt)
	switch {
	case hinted && downDue:
		l.try(stepDownHinted, true)
	case !now.Before(l.trial.upAt):
		l.try(stepUp, false)
	case downDue:
		l.try(stepDown, false)
	}
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

// judge keeps the limit on trial where its throughput is worth it, and reports whether it did.
func (l *limiter) judge(now time.Time, throughput float64, latency time.Duration) bool {
	t := &l.trial
	t.running = false
	change := l.limit/t.before - 1
	gain := throughput/max(l.steady, 1e-9) - 1
	up := change > 0
	var keep bool
	if up {
		keep = gain > gainUp*change
	} else {
		keep = gain > lossDown*change
	}
	if !keep {
		l.limit = t.before
		t.settling = true
	}
	t.reschedule(now, up, keep)
	if !up && !keep && t.hinted {
		// Fewer at a time are not faster: the latency is the service's own.
		l.best = max(l.best, time.Duration(float64(latency)/intrinsicMargin))
	}
	return keep
}

// reschedule makes the next trial of a direction come sooner after a kept one and later after another.
func (t *trial) reschedule(now time.Time, up, kept bool) {
	if up {
		t.upPause = pauseAfter(t.upPause, pauseUpMinimum, kept)
		t.upAt = now.Add(t.upPause)
		return
	}
	t.downPause = pauseAfter(t.downPause, pauseDown, kept)
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

package priority

import "time"

// window gathers the finished runs between two looks at the limit.
type window struct {
	start     time.Time
	finished  int
	succeeded int
	saturated int // runs that ended while the limit held others back
	peak      int // most runs at a time
	latency   time.Duration
}

func (w *window) add(result Result, inFlight int, saturated bool) {
	w.finished++
	w.latency += result.Latency
	w.peak = max(w.peak, inFlight)
	if !result.Failed {
		w.succeeded++
	}
	if saturated {
		w.saturated++
	}
}

func (w *window) meanLatency() time.Duration {
	return w.latency / time.Duration(max(w.finished, 1))
}

// throughput returns the successes a second.
func (w *window) throughput(now time.Time) float64 {
	elapsed := now.Sub(w.start).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(w.succeeded) / elapsed
}

func (w *window) failedShare() float64 {
	return float64(w.finished-w.succeeded) / float64(max(w.finished, 1))
}

func (w *window) isSaturated() bool {
	return float64(w.saturated) >= saturatedShare*float64(w.finished)
}

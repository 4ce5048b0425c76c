package priority

import (
	"math"
	"time"
)

// window gathers the finished runs between two looks at the limit.
type window struct {
	start     time.Time
	finished  int
	succeeded int
	saturated int // runs that ended while the limit held others back
	peak      int // most runs at a time
	inFlight  int // sum over the ends of runs
	latency   time.Duration
	squares   float64 // sum of the squared latencies in seconds
}

func (w *window) add(result Result, inFlight int, saturated bool) {
	w.finished++
	w.latency += result.Latency
	w.squares += result.Latency.Seconds() * result.Latency.Seconds()
	w.inFlight += inFlight
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

// throughput returns the successes a second by Little's law, which unlike a count doesn't depend on how
// the ends of runs fall into the window.
func (w *window) throughput() float64 {
	return float64(w.succeeded) * float64(w.inFlight) / float64(max(w.finished, 1)) / max(w.latency.Seconds(), 1e-9)
}

func (w *window) meanInFlight() float64 {
	return float64(w.inFlight) / float64(max(w.finished, 1))
}

func (w *window) failedShare() float64 {
	return float64(w.finished-w.succeeded) / float64(max(w.finished, 1))
}

func (w *window) isSaturated() bool {
	return float64(w.saturated) >= saturatedShare*float64(w.finished)
}

// meanError returns the standard error of the mean latency as a share of it.
func (w *window) meanError() float64 {
	mean := w.meanLatency().Seconds()
	if w.finished < 2 || mean <= 0 {
		return 1
	}
	n := float64(w.finished)
	variance := max(0, w.squares/n-mean*mean)
	return math.Sqrt(variance/n) / mean
}

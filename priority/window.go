package priority

import (
	"math"
	"time"
)

// window aggregates the runs that finished since the last adjustment of the limit.
type window struct {
	start          time.Time
	finished       int
	succeeded      int
	saturated      int // runs that ended while other requests waited
	peakInFlight   int // maximum concurrency
	inFlightSum    int // sum of the concurrency at the end of each run
	latencySum     time.Duration
	latencySquares float64 // sum of squared latencies in square seconds
}

func (w *window) add(result Result, inFlight int, saturated bool) {
	w.finished++
	w.latencySum += result.Latency
	w.latencySquares += result.Latency.Seconds() * result.Latency.Seconds()
	w.inFlightSum += inFlight
	w.peakInFlight = max(w.peakInFlight, inFlight)
	if !result.Failed {
		w.succeeded++
	}
	if saturated {
		w.saturated++
	}
}

func (w *window) meanLatency() time.Duration {
	return w.latencySum / time.Duration(max(w.finished, 1))
}

// throughput returns the successful runs per second by Little's law. Unlike a count over the window, it does
// not depend on how the ends of runs fall into the window.
func (w *window) throughput() float64 {
	return float64(w.succeeded) * float64(w.inFlightSum) / float64(max(w.finished, 1)) / max(w.latencySum.Seconds(), 1e-9)
}

func (w *window) meanInFlight() float64 {
	return float64(w.inFlightSum) / float64(max(w.finished, 1))
}

func (w *window) failedShare() float64 {
	return float64(w.finished-w.succeeded) / float64(max(w.finished, 1))
}

func (w *window) isSaturated() bool {
	return float64(w.saturated) >= minSaturatedShare*float64(w.finished)
}

// meanLatencyError returns the relative standard error of the mean latency.
func (w *window) meanLatencyError() float64 {
	mean := w.meanLatency().Seconds()
	if w.finished < 2 || mean <= 0 {
		return 1
	}
	n := float64(w.finished)
	variance := max(0, w.latencySquares/n-mean*mean)
	return math.Sqrt(variance/n) / mean
}

package priority

import "time"

const (
	bestLatencyDrift = 0.02 // relative rise per second
	latencyTolerance = 1.2
)

// bestLatency holds the lowest recent mean latency and the highest concurrency observed at about that
// latency.
type bestLatency struct {
	latency  time.Duration
	inFlight float64
	byMean   bool // inFlight is a mean without the part that stretched the latency, and not a peak
}

// observe updates the best latency from the mean latency of a window. The best latency drifts upwards so
// that an outdated value is replaced. It rises at once if higher concurrency can't explain the measured
// latency: latency grows at most in proportion to concurrency, so a larger increase means that the service
// itself has become slower.
func (b *bestLatency) observe(elapsed time.Duration, w window) {
	latency, inFlight := max(w.meanLatency(), 1), max(w.meanInFlight(), 1)
	b.latency += time.Duration(float64(b.latency) * bestLatencyDrift * elapsed.Seconds())
	if b.latency == 0 || float64(latency) <= latencyTolerance*float64(b.latency) {
		b.inFlight = max(b.inFlight, b.concurrency(w))
	}
	if b.latency == 0 || latency <= b.latency {
		b.latency = latency
		return
	}
	crowding := max(1, inFlight/b.inFlight)
	if attributed := time.Duration(float64(latency) / crowding); float64(attributed) > latencyTolerance*float64(b.latency) {
		b.latency = attributed
	}
}

// concurrency returns the concurrency of w at which the latency is about the best one.
func (b *bestLatency) concurrency(w window) float64 {
	if !b.byMean {
		return float64(w.peakInFlight)
	}
	stretch := float64(w.meanLatency()) / float64(max(b.latency, 1))
	if b.latency == 0 {
		stretch = 1
	}
	return w.meanInFlight() / max(1, stretch)
}

// acceptHigher raises the best latency to that of w after a trial has shown that lower concurrency is not
// faster.
func (b *bestLatency) acceptHigher(w window) {
	b.latency = max(b.latency, w.meanLatency())
	b.inFlight = max(w.meanInFlight(), 1)
}

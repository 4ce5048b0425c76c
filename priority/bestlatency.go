package priority

import "time"

const (
	bestLatencyRise  = 0.02 // a second
	attributedMargin = 1.2
)

// bestLatency is the lowest recent mean latency and the most runs at a time that were seen with about it.
type bestLatency struct {
	latency  time.Duration
	inFlight float64
}

// learn takes the latency of a window. The old best rises slowly, so that it is forgotten; and it rises at
// once where more runs at a time can't explain the latency, since that grows with them at most in
// proportion: then the service itself has become slower.
func (b *bestLatency) learn(elapsed time.Duration, w window) {
	latency, inFlight := max(w.meanLatency(), 1), max(w.meanInFlight(), 1)
	b.latency += time.Duration(float64(b.latency) * bestLatencyRise * elapsed.Seconds())
	if b.latency == 0 || float64(latency) <= attributedMargin*float64(b.latency) {
		b.inFlight = max(b.inFlight, float64(w.peak))
	}
	if b.latency == 0 || latency <= b.latency {
		b.latency = latency
		return
	}
	crowding := max(1, inFlight/b.inFlight)
	if attributed := time.Duration(float64(latency) / crowding); float64(attributed) > attributedMargin*float64(b.latency) {
		b.latency = attributed
	}
}

// intrinsic takes note that fewer runs at a time are not faster.
func (b *bestLatency) intrinsic(w window) {
	b.latency = max(b.latency, w.meanLatency())
	b.inFlight = max(w.meanInFlight(), 1)
}

package completion

import (
	"sync"
	"time"
)

const (
	// minSamples is the number of answers from which on their durations say how long the next one takes.
	minSamples = 8
	// gain is the share by which a new duration moves the estimates. It is less than in TCP's retransmission timer (RFC 6298),
	// whose deviation falls for a while after a few like durations, and with it the bound below many of the next.
	gain = 1.0 / 16
	// boundDeviations is the number of mean deviations in the bound, that of the retransmission timer.
	boundDeviations = 4
)

// Durations estimates for each key how long calls take until their answer. It keeps the keys that it has learnt last, and is
// safe for concurrent use.
type Durations[K comparable] struct {
	mu       sync.Mutex
	capacity int
	byKey    map[K]*usualDuration
	learnt   []K // the keys of byKey in the order in which they were learnt
}

// usualDuration is the moving mean of durations with their mean deviation from it, in nanoseconds.
type usualDuration struct {
	mean      float64
	deviation float64
	samples   int
}

// NewDurations returns estimates for at most capacity keys.
func NewDurations[K comparable](capacity int) *Durations[K] {
	return &Durations[K]{capacity: capacity, byKey: make(map[K]*usualDuration)}
}

// Observe records that a call took a time.
func (d *Durations[K]) Observe(key K, took time.Duration) {
	sample := float64(max(took, 0))
	d.mu.Lock()
	defer d.mu.Unlock()
	usual := d.byKey[key]
	if usual == nil {
		d.forgetOldest()
		d.byKey[key] = &usualDuration{mean: sample, deviation: sample / 2, samples: 1}
		d.learnt = append(d.learnt, key)
		return
	}
	difference := sample - usual.mean
	usual.deviation += gain * (max(difference, -difference) - usual.deviation)
	usual.mean += gain * difference
	usual.samples = min(usual.samples+1, minSamples)
}

// forgetOldest makes room for one key.
func (d *Durations[K]) forgetOldest() {
	for len(d.learnt) >= max(d.capacity, 1) {
		delete(d.byKey, d.learnt[0])
		d.learnt = d.learnt[1:]
	}
}

// Expect returns the mean of the durations and a bound that few calls exceed. known is false if too few were observed.
func (d *Durations[K]) Expect(key K) (mean, bound time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	usual := d.byKey[key]
	if usual == nil || usual.samples < minSamples {
		return 0, 0, false
	}
	return time.Duration(usual.mean), time.Duration(usual.mean + boundDeviations*usual.deviation), true
}

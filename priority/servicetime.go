package priority

import (
	"math"
	"slices"
	"time"
)

const (
	serviceSamples  = 16
	serviceIdle     = time.Second
	serviceIdleHalf = 500 * time.Millisecond
)

// serviceTime keeps the last observed latencies of a route; a run is expected to take their lower quartile,
// which shrinks while no run ends, so that a recovered backend server is tried again.
type serviceTime struct {
	samples    [serviceSamples]time.Duration
	observed   int
	shorter    time.Duration
	observedAt time.Time
}

func (s *serviceTime) observe(now time.Time, latency time.Duration) {
	s.samples[s.observed%serviceSamples] = latency
	s.observed++
	sorted := s.samples
	n := min(s.observed, serviceSamples)
	slices.Sort(sorted[:n])
	s.shorter = sorted[n/4]
	s.observedAt = now
}

func (s *serviceTime) expected(now time.Time) time.Duration {
	idle := now.Sub(s.observedAt) - serviceIdle
	if idle <= 0 || s.shorter == 0 {
		return s.shorter
	}
	return time.Duration(float64(s.shorter) * math.Exp2(-float64(idle)/float64(serviceIdleHalf)))
}

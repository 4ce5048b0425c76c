package priority

import (
	"math"
	"slices"
	"time"
)

const (
	serviceTimeSamples  = 16
	serviceTimeGrace    = time.Second            // time without a finished run before the estimate decays
	serviceTimeHalfLife = 500 * time.Millisecond // of the estimate after serviceTimeGrace
)

// serviceTime estimates the service time of a route as the lower quartile of its most recent latencies. The
// estimate decays while no run ends, so that a recovered backend server receives requests again.
type serviceTime struct {
	samples       [serviceTimeSamples]time.Duration
	observations  int
	lowerQuartile time.Duration
	observedAt    time.Time
}

func (s *serviceTime) observe(now time.Time, latency time.Duration) {
	s.samples[s.observations%serviceTimeSamples] = latency
	s.observations++
	sorted := s.samples
	n := min(s.observations, serviceTimeSamples)
	slices.Sort(sorted[:n])
	s.lowerQuartile = sorted[n/4]
	s.observedAt = now
}

func (s *serviceTime) expected(now time.Time) time.Duration {
	idle := now.Sub(s.observedAt) - serviceTimeGrace
	if idle <= 0 || s.lowerQuartile == 0 {
		return s.lowerQuartile
	}
	return time.Duration(float64(s.lowerQuartile) * math.Exp2(-float64(idle)/float64(serviceTimeHalfLife)))
}

package priority

import (
	"math"
	"time"
)

const (
	serviceQuantile  = 0.25
	serviceStep      = 0.1
	serviceIdle      = time.Second
	serviceIdleHalf  = 500 * time.Millisecond
	serviceTimeFloor = 10 * time.Microsecond
)

// serviceTime tracks a low quantile of observed latencies: what a run takes at least, as a rule. It
// shrinks while no run ends, so that a recovered backend server is tried again.
type serviceTime struct {
	quantile   float64 // nanoseconds
	observedAt time.Time
}

func (s *serviceTime) observe(now time.Time, latency time.Duration) {
	value := float64(max(latency, serviceTimeFloor))
	switch {
	case s.quantile == 0:
		s.quantile = value
	case value > s.quantile:
		s.quantile = math.Min(value, s.quantile*(1+serviceStep*serviceQuantile))
	default:
		s.quantile = math.Max(value, s.quantile*(1-serviceStep*(1-serviceQuantile)))
	}
	s.observedAt = now
}

func (s *serviceTime) expected(now time.Time) time.Duration {
	idle := now.Sub(s.observedAt) - serviceIdle
	if idle <= 0 || s.quantile == 0 {
		return time.Duration(s.quantile)
	}
	return time.Duration(s.quantile * math.Exp2(-float64(idle)/float64(serviceIdleHalf)))
}

package locality

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// Interval is the time between two updates, several times that in which a report arrives.
	Interval = 100 * time.Millisecond
	// roomShare of the latency objective may be used near, which leaves the rest to calls further up and to surges.
	roomShare = 0.25
	// slowRoomShare of the latency objective may be used by targets that are slow without a wait.
	slowRoomShare = 0.5
	// takenSlots is the expected time to completion at a target whose slots are just taken, in times without a wait.
	takenSlots = 1.5
	// refusingSlack is the difference between the shares of refusing targets that is not yet a lack of room.
	refusingSlack = 0.1
	// riseRate is the change of the share in an interval in which the near targets lack all room.
	riseRate = 0.1
	// fallRate is lower than riseRate, so that a return doesn't bring the lack of room back at once.
	fallRate = 0.04
	// hysteresis is how far below their limit the near targets must be for calls to return.
	hysteresis = 0.2
	// probeShare is the share while nothing is known of the far targets.
	probeShare = 0.05
	// forgetRate is the part of the difference to idle targets that is forgotten in an interval.
	forgetRate = 0.02
	// maxIntervals bounds the effect of an update after a pause.
	maxIntervals = 10
	// begunShare is the share above which a spill is reported as begun, so that short peaks are not.
	begunShare = 0.1
)

// A Spill is the share of the calls to one service that leaves the caller's failure domain. Its zero value keeps all
// calls. Times are durations since a fixed start. Update must not be called concurrently.
type Spill struct {
	share     atomic.Uint64 // bits of a float64
	updatedAt time.Duration
	far       time.Duration // last known time to completion of far targets, which approaches that of idle ones
	begun     bool
}

// Share returns the share of calls that leave, from 0 to 1.
func (s *Spill) Share() float64 { return math.Float64frombits(s.share.Load()) }

// Leaves reports whether the call with these random bits leaves.
func (s *Spill) Leaves(random uint64) bool {
	const mixer, fraction = 0x9E3779B97F4A7C15, 1 << 53 // makes the draw independent of other uses of the bits
	return float64(random*mixer>>11)/fraction < s.Share()
}

// Update adapts the share to a sample and reports whether a spill has begun or ended.
func (s *Spill) Update(at time.Duration, sample Sample) Change {
	intervals := min(max(float64(at-s.updatedAt)/float64(Interval), 1), maxIntervals)
	s.updatedAt = at
	known := sample.Far > 0
	sample.Far = s.expectedFar(sample, intervals)
	share := s.Share()
	switch excess := sample.excess(); {
	case excess > 0 && !known:
		share = max(share, min(share+riseRate*excess, probeShare))
	case excess > 0:
		share = min(share+riseRate*excess, 1)
	case excess < -hysteresis:
		share = max(share+fallRate*excess*intervals, 0)
	}
	s.share.Store(math.Float64bits(share))
	return s.change(share)
}

// expectedFar returns the time to completion of far targets. While none is known, the last one approaches that of idle
// targets, so that calls try the others again after a while.
func (s *Spill) expectedFar(sample Sample, intervals float64) time.Duration {
	switch {
	case sample.Far > 0:
		s.far = sample.Far
	case s.far == 0:
		s.far = sample.Idle
	default:
		s.far = sample.Idle + time.Duration(float64(s.far-sample.Idle)*max(1-forgetRate*intervals, 0))
	}
	return s.far
}

// change records whether the spill has begun and returns what has changed.
func (s *Spill) change(share float64) Change {
	switch {
	case !s.begun && share >= begunShare:
		s.begun = true
		return Begun
	case s.begun && share == 0:
		s.begun = false
		return Ended
	default:
		return None
	}
}

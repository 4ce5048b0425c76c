package target

import (
	"math"
	"time"
)

// record is what the registry knows about one target name.
type record struct {
	target  Target
	heard   time.Time
	present bool // announced and not expired, left or suppressed
	left    bool // this incarnation has left and can't come back
	spread  bool // daemons were told that it is present
	version uint64
	flaps   flapPenalty
}

const (
	slotsSpreadRatio = 1.25
	penaltyPerFlap   = 1.0
	penaltyHalfLife  = 15 * time.Second
	penaltySuppress  = 4.0
	penaltyReuse     = 2.0
	penaltyCeiling   = 8.0
)

// materialSlots reports whether the slots differ enough for daemons to be told.
func materialSlots(before, after int) bool {
	low, high := float64(min(before, after)), float64(max(before, after))
	return high > low*slotsSpreadRatio
}

// flapPenalty grows with each change of presence and decays by half-life.
type flapPenalty struct {
	value      float64
	at         time.Time
	suppressed bool
}

func (p *flapPenalty) decay(now time.Time) {
	if p.value > 0 && now.After(p.at) {
		p.value *= math.Exp2(-float64(now.Sub(p.at)) / float64(penaltyHalfLife))
	}
	if now.After(p.at) {
		p.at = now
	}
}

func (p *flapPenalty) add(now time.Time) {
	p.decay(now)
	p.value = math.Min(p.value+penaltyPerFlap, penaltyCeiling)
	if p.value >= penaltySuppress {
		p.suppressed = true
	}
}

// held reports whether the target must not be spread as present yet.
func (p *flapPenalty) held(now time.Time) bool {
	p.decay(now)
	if p.value < penaltyReuse {
		p.suppressed = false
	}
	return p.suppressed
}

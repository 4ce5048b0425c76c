package target

import (
	"math"
	"time"
)

// record is the registry's entry for one target name.
type record struct {
	target        Target
	lastHeartbeat time.Time
	present       bool // announced and neither expired nor left
	left          bool // this incarnation has left and can't rejoin
	advertised    bool // deltas list it as present
	version       uint64
	penalty       flapPenalty
}

const (
	slotsAdvertiseRatio  = 1.25
	penaltyPerFlap       = 1.0
	penaltyHalfLife      = 15 * time.Second
	penaltySuppressLimit = 4.0
	penaltyReuseLimit    = 2.0
	maxPenalty           = 8.0
)

// slotsChangedMaterially reports whether the slots differ enough to advertise the change to daemons.
func slotsChangedMaterially(before, after int) bool {
	low, high := float64(min(before, after)), float64(max(before, after))
	return high > low*slotsAdvertiseRatio
}

// flapPenalty damps flapping targets. It grows with each appearance or restart of the target and decays with a
// half-life of penaltyHalfLife. A target whose penalty reaches penaltySuppressLimit is suppressed until the penalty
// falls below penaltyReuseLimit.
type flapPenalty struct {
	value      float64
	updatedAt  time.Time
	suppressed bool
}

func (p *flapPenalty) decay(now time.Time) {
	if p.value > 0 && now.After(p.updatedAt) {
		p.value *= math.Exp2(-float64(now.Sub(p.updatedAt)) / float64(penaltyHalfLife))
	}
	if now.After(p.updatedAt) {
		p.updatedAt = now
	}
}

func (p *flapPenalty) add(now time.Time) {
	p.decay(now)
	p.value = math.Min(p.value+penaltyPerFlap, maxPenalty)
	if p.value >= penaltySuppressLimit {
		p.suppressed = true
	}
}

// isSuppressed reports whether the target must not be advertised as present yet.
func (p *flapPenalty) isSuppressed(now time.Time) bool {
	p.decay(now)
	if p.value < penaltyReuseLimit {
		p.suppressed = false
	}
	return p.suppressed
}

package room

import (
	"math"
	"time"
)

const (
	// turnedAwayGain is the weight of one run in the share that a backend server turns away.
	turnedAwayGain = 1.0 / 32
	// turnedAwayHalfLife is how fast the share is forgotten while nothing runs.
	turnedAwayHalfLife = time.Second
)

// A TurnedAway estimates the share of calls that a backend server turns away, though its target has room for them. The
// zero value is one that turns nothing away. The caller must serialize all calls with one lock.
type TurnedAway struct {
	share    float64
	observed time.Time
}

// Observe records whether the backend server turned a call away.
func (t *TurnedAway) Observe(now time.Time, turnedAway bool) {
	share := t.Share(now)
	if turnedAway {
		share += turnedAwayGain * (1 - share)
	} else {
		share -= turnedAwayGain * share
	}
	t.share, t.observed = share, now
}

// Share returns the share at now.
func (t *TurnedAway) Share(now time.Time) float64 {
	if t.share == 0 {
		return 0
	}
	return t.share * math.Exp2(-float64(now.Sub(t.observed))/float64(turnedAwayHalfLife))
}

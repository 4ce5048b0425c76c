package claim

import "time"

// maximumClockSkew is how far a caller's clock may be ahead of the log time. A lost claim of a key from a faster clock
// is not recognized.
const maximumClockSkew = time.Minute

// lostClaims describes the keys that may have been won in log entries that a forced recovery lost.
type lostClaims struct {
	// timedUntil is the latest time of timed keys that may have been won.
	timedUntil time.Time
	// untimedUntil is the time from which resends of untimed keys are no longer expected.
	untimedUntil time.Time
}

// Recover records that claims made before at may be lost. A key that may belong to a lost claim can't be won: its claim
// is reported as finished with an unknown outcome. An untimed key doesn't show its age, so for the length of the
// retention all unknown untimed keys are treated this way, or none of them if runUntimed is set.
func (r *Registry) Recover(at time.Time, runUntimed bool) {
	at = r.advance(at)
	r.lostClaims.timedUntil = at.Add(maximumClockSkew)
	if !runUntimed {
		r.lostClaims.untimedUntil = at.Add(r.retention)
	}
}

// claimMayBeLost reports whether a key that has no claim, or only a released one, may have been won by a lost claim.
func (r *Registry) claimMayBeLost(at time.Time, k Key) bool {
	if keyTime, timed := k.Time(); timed && !keyTime.After(at.Add(r.margin)) {
		return !keyTime.After(r.lostClaims.timedUntil)
	}
	return at.Before(r.lostClaims.untimedUntil)
}

func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func decodeTime(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

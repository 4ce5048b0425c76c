package priority

import "time"

// A Level tells upstream daemons what a target sheds: every request below Priority, and Share of the
// hash space of Priority itself, until ValidUntil.
type Level struct {
	Priority   int
	Share      float64
	ValidUntil time.Time
}

// Sheds reports whether a request of the given priority is shed at now. Requests of one whole request
// share wholeHash, so that all hops shed the same ones.
func (l Level) Sheds(now time.Time, priority int, wholeHash uint64) bool {
	if !now.Before(l.ValidUntil) {
		return false
	}
	if priority != l.Priority {
		return priority > l.Priority
	}
	return hashFraction(wholeHash) < l.Share
}

// hashFraction spreads hash over [0, 1).
func hashFraction(hash uint64) float64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	return float64(hash>>11) / (1 << 53)
}

package load

import "time"

// A Retrier decides whether and when a caller sends a request again.
type Retrier struct {
	// Attempts is how often a request is sent at most.
	Attempts int
	// Pause is the time between attempts.
	Pause time.Duration
	// Hard callers send again after any failure, also of a request that may not be repeated, and
	// don't heed Retry-After.
	Hard bool
}

// next returns the pause before the next attempt, and false where there is none.
func (r Retrier) next(attempt int, outcome Outcome, retryAfter time.Duration) (time.Duration, bool) {
	if outcome.Verdict == Good || attempt >= r.Attempts {
		return 0, false
	}
	if r.Hard {
		return r.Pause, true
	}
	if !outcome.notRun() {
		return 0, false
	}
	return max(r.Pause, retryAfter), true
}

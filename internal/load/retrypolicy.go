package load

import "time"

// RetryPolicy is the retry policy of a caller.
type RetryPolicy struct {
	// Attempts is the maximum number of attempts at a request, including the first.
	Attempts int
	// Pause is the minimum delay between attempts.
	Pause time.Duration
	// Aggressive callers retry after any failure, even if the request is not safe to repeat, and ignore Retry-After.
	Aggressive bool
}

// nextDelay returns the delay before the next attempt, and false if there is none.
func (r RetryPolicy) nextDelay(attempt int, outcome Outcome, retryAfter time.Duration) (time.Duration, bool) {
	if outcome.Verdict == Good || attempt >= r.Attempts {
		return 0, false
	}
	if r.Aggressive {
		return r.Pause, true
	}
	if !outcome.refusedBeforeRun() {
		return 0, false
	}
	return max(r.Pause, retryAfter), true
}

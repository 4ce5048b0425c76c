package retry

import (
	"math/rand/v2"
	"time"
)

const (
	baseBackoff         = 10 * time.Millisecond
	maxBackoff          = time.Second
	maxBackoffDoublings = 7
)

// Backoff returns the jittered wait before the given attempt, counted from 1. The full wait is 10 ms and
// doubles with each attempt up to 1 s. The result lies between half of it and all of it.
func Backoff(random *rand.Rand, attempt int) time.Duration {
	wait := min(baseBackoff<<min(max(attempt-1, 0), maxBackoffDoublings), maxBackoff)
	return wait/2 + time.Duration(random.Int64N(int64(wait/2)+1))
}

// JitterRetryAfter returns base plus a random jitter of up to base, so that callers refused with the same Retry-After
// don't retry at the same time. It returns 0 if base is not positive.
func JitterRetryAfter(random *rand.Rand, base time.Duration) time.Duration {
	if base <= 0 {
		return 0
	}
	return base + time.Duration(random.Int64N(int64(base)+1))
}

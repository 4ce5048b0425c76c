package retry

import (
	"math/rand/v2"
	"time"
)

const (
	backoffBase    = 10 * time.Millisecond
	backoffCeiling = time.Second
	backoffShifts  = 7
)

// Backoff returns the jittered wait before attempt, counted from 1: between half and the whole of 10 ms
// doubled with each attempt up to 1 s.
func Backoff(random *rand.Rand, attempt int) time.Duration {
	wait := min(backoffBase<<min(max(attempt-1, 0), backoffShifts), backoffCeiling)
	return wait/2 + time.Duration(random.Int64N(int64(wait/2)+1))
}

// After spreads a Retry-After of base evenly between once and twice its length, so that callers refused together do
// not come back together.
func After(random *rand.Rand, base time.Duration) time.Duration {
	if base <= 0 {
		return 0
	}
	return base + time.Duration(random.Int64N(int64(base)+1))
}

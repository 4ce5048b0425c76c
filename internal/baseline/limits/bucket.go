package limits

import "time"

// Bucket is a token bucket that refills continuously and counts fractions of tokens.
type Bucket struct {
	rate  float64
	burst float64
	level float64
	at    time.Time
}

// NewBucket returns a full Bucket with a rate in tokens per second and a burst in tokens.
func NewBucket(now time.Time, rate, burst float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: burst, at: now}
}

// Take takes a token and reports whether one was available.
func (b *Bucket) Take(now time.Time) bool {
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// TakeOverdraft takes a token even if none is available, and returns how many tokens have been used beyond rate
// and burst.
func (b *Bucket) TakeOverdraft(now time.Time) float64 {
	b.refill(now)
	b.level--
	return max(0, -b.level)
}

func (b *Bucket) refill(now time.Time) {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

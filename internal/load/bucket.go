package load

import "time"

// Bucket is the reference token bucket that decides whether a refusal was wrongful.
type Bucket struct {
	limit   Limit
	level   float64
	updated time.Time
}

// NewBucket returns a full Bucket.
func NewBucket(now time.Time, limit Limit) *Bucket {
	return &Bucket{limit: limit, level: float64(limit.Burst), updated: now}
}

// Take takes a token at now and reports whether one was available; a bucket without a rate always has one.
func (b *Bucket) Take(now time.Time) bool {
	if b.limit.Rate <= 0 {
		return true
	}
	elapsed := max(now.Sub(b.updated), 0)
	b.level = min(b.level+elapsed.Seconds()*b.limit.Rate, float64(b.limit.Burst))
	b.updated = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

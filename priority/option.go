package priority

import "time"

// An AdmissionOption configures an Admission.
type AdmissionOption func(*Admission)

const (
	defaultSlots         = 16
	defaultLevelValidity = 300 * time.Millisecond
)

// WithSlots sets the slots that are assumed until the backend server announces its own.
func WithSlots(n int) AdmissionOption {
	return func(a *Admission) { a.limiter = newLimiter(n) }
}

// WithQueueBound sets how many requests may wait at most; 0 bounds the queue by the concurrency limit.
func WithQueueBound(n int) AdmissionOption {
	return func(a *Admission) { a.queueBound = n }
}

// WithLevelValidity sets how long upstream daemons heed one level.
func WithLevelValidity(d time.Duration) AdmissionOption {
	return func(a *Admission) { a.levelValidity = d }
}

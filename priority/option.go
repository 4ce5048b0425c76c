package priority

import "time"

// An AdmissionOption configures an Admission.
type AdmissionOption func(*Admission)

const (
	defaultSlots         = 16
	defaultLevelValidity = 300 * time.Millisecond
)

// WithSlots sets the number of slots to assume until the backend server announces its own.
func WithSlots(n int) AdmissionOption {
	return func(a *Admission) { a.limiter = newLimiter(n) }
}

// WithGate sets a gate that bounds how fast requests start.
func WithGate(gate Gate) AdmissionOption {
	return func(a *Admission) { a.gate = gate }
}

// WithQueueBound sets the maximum number of waiting requests. With 0, the bound follows the concurrency
// limit.
func WithQueueBound(n int) AdmissionOption {
	return func(a *Admission) { a.queueBound = n }
}

// WithLevelValidity sets how long a level stays valid for upstream daemons.
func WithLevelValidity(d time.Duration) AdmissionOption {
	return func(a *Admission) { a.levelValidity = d }
}

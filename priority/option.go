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
	return func(a *Admission) {
		cautious := a.limiter.cautious
		a.limiter = newLimiter(n)
		if cautious {
			a.limiter.beCautious()
		}
	}
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

// WithTreeDemand makes the level suit the entries of call trees, which apply it to whole trees: demand and fairness are
// measured by the time that requests hold slots instead of by their number, and followed more slowly.
func WithTreeDemand() AdmissionOption {
	return func(a *Admission) {
		a.shedder.slotTimes = make(map[string]float64)
		a.shedder.pacing = treePacing
		a.limiter.beCautious()
	}
}

// WithBegunFirst makes nested requests go before other waiting requests of the same priority, so that what has begun is
// finished first.
func WithBegunFirst() AdmissionOption {
	return func(a *Admission) { a.queue.begunFirst = true }
}

// WithLevelValidity sets how long a level stays valid for upstream daemons.
func WithLevelValidity(d time.Duration) AdmissionOption {
	return func(a *Admission) { a.levelValidity = d }
}

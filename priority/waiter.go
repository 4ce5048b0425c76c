package priority

import "time"

// waiter is a waiting request, linked into its flow from oldest to newest.
type waiter struct {
	request      Request
	order        int // of its class
	queuedAt     time.Time
	waitDeadline time.Time // refused after this time, unless zero
	flow         *flow
	prev, next   *waiter
}

// timedOut reports whether the waiter is past its wait deadline.
func (w *waiter) timedOut(now time.Time) bool {
	return !w.waitDeadline.IsZero() && now.After(w.waitDeadline)
}

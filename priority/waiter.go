package priority

import "time"

// waiter is one waiting request, linked into its lane from oldest to newest.
type waiter struct {
	request    Request
	since      time.Time
	until      time.Time // refused after, unless zero
	lane       *lane
	prev, next *waiter
}

// impatient reports whether the waiter has waited for as long as it may.
func (w *waiter) impatient(now time.Time) bool {
	return !w.until.IsZero() && now.After(w.until)
}

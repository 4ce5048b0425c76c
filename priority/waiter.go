package priority

import "time"

// waiter is one waiting request, linked into its lane from oldest to newest.
type waiter struct {
	request    Request
	since      time.Time
	lane       *lane
	prev, next *waiter
}

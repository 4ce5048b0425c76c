package daemon

import (
	"sync"
	"time"
)

// nestedTime tells the part of a run that its backend server spent on nested calls, so that a slow or refusing service below
// isn't put down to the backend server itself.
type nestedTime struct {
	mu     sync.Mutex
	active int
	since  time.Time // when the first active one began
	total  time.Duration
	failed bool
}

func (n *nestedTime) begin(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.active == 0 {
		n.since = now
	}
	n.active++
}

// end ends a nested call, which failed if it got no answer or an error.
func (n *nestedTime) end(now time.Time, failed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.active--
	if n.active == 0 {
		n.total += now.Sub(n.since)
	}
	n.failed = n.failed || failed
}

// at returns the time with at least one nested call under way up to now, and whether one has failed.
func (n *nestedTime) at(now time.Time) (total time.Duration, failed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.active > 0 {
		return n.total + now.Sub(n.since), n.failed
	}
	return n.total, n.failed
}

package limit

import "time"

const (
	// DefaultMaximumWaiting bounds the requests of one workspace that wait at one daemon.
	DefaultMaximumWaiting = 256

	queueLongWait     = 100 * time.Millisecond
	queueOverloadTime = 5 * time.Second
)

// A Queue holds the requests of one workspace that wait for tokens at one daemon. The oldest is served first; when
// the oldest has waited for 100 ms or more during 5 s, which is longer than an owner's replacement takes, the newest
// is, so that those served waited little.
type Queue[R comparable] struct {
	maximum int
	waiting []queued[R]
	longAt  time.Time // since when waits are long, or zero
}

type queued[R comparable] struct {
	request R
	since   time.Time
}

// NewQueue returns an empty queue of at most maximum requests.
func NewQueue[R comparable](maximum int) *Queue[R] {
	return &Queue[R]{maximum: maximum}
}

// Push adds a request. Where the queue is full the oldest leaves it and is returned, to be refused.
func (q *Queue[R]) Push(now time.Time, request R) (displaced R, full bool) {
	if full = len(q.waiting) >= q.maximum; full {
		displaced = q.take(0)
	}
	q.waiting = append(q.waiting, queued[R]{request, now})
	return displaced, full
}

// Pop takes the request to be served next.
func (q *Queue[R]) Pop(now time.Time) (request R, ok bool) {
	if len(q.waiting) == 0 {
		return request, false
	}
	if q.overloaded(now) {
		return q.take(len(q.waiting) - 1), true
	}
	return q.take(0), true
}

func (q *Queue[R]) overloaded(now time.Time) bool {
	switch {
	case now.Sub(q.waiting[0].since) < queueLongWait:
		q.longAt = time.Time{}
	case q.longAt.IsZero():
		q.longAt = now
	}
	return !q.longAt.IsZero() && now.Sub(q.longAt) >= queueOverloadTime
}

// Remove takes out a request that leaves, and tells whether it was waiting.
func (q *Queue[R]) Remove(request R) bool {
	for i := range q.waiting {
		if q.waiting[i].request == request {
			q.take(i)
			return true
		}
	}
	return false
}

// RemoveFunc takes out the requests that leave, and returns them, oldest first.
func (q *Queue[R]) RemoveFunc(leaves func(R) bool) []R {
	var removed []R
	for i := 0; i < len(q.waiting); {
		if leaves(q.waiting[i].request) {
			removed = append(removed, q.take(i))
			continue
		}
		i++
	}
	return removed
}

// Len returns the number of waiting requests.
func (q *Queue[R]) Len() int {
	return len(q.waiting)
}

func (q *Queue[R]) take(i int) R {
	taken := q.waiting[i].request
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	return taken
}

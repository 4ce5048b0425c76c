package limit

import "time"

const (
	// DefaultMaximumWaiting bounds the requests of one workspace that wait at one daemon.
	DefaultMaximumWaiting = 256

	queueLongWait     = 100 * time.Millisecond
	queueOverloadTime = 5 * time.Second
)

// A Queue holds the requests of one workspace that wait for tokens at one daemon. The most important are served first, and
// of these the oldest; when the oldest of all has waited for 100 ms or more during 5 s, which is longer than an owner's replacement takes, the newest
// is, so that those served waited little.
type Queue[R comparable] struct {
	maximum int
	rank    func(R) int
	waiting []queued[R] // in the order of arrival
	longAt  time.Time   // since when waits are long, or zero
}

type queued[R comparable] struct {
	request R
	since   time.Time
}

// A QueueOption configures a Queue.
type QueueOption[R comparable] func(*Queue[R])

// WithRank orders the requests by their rank, 0 the most important; without it all are alike.
func WithRank[R comparable](rank func(R) int) QueueOption[R] {
	return func(q *Queue[R]) { q.rank = rank }
}

// NewQueue returns an empty queue of at most maximum requests.
func NewQueue[R comparable](maximum int, opts ...QueueOption[R]) *Queue[R] {
	q := &Queue[R]{maximum: maximum, rank: func(R) int { return 0 }}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Push adds a request. Where the queue is full the oldest of the least important leaves it and is returned, to be refused.
func (q *Queue[R]) Push(now time.Time, request R) (displaced R, full bool) {
	q.waiting = append(q.waiting, queued[R]{request, now})
	if len(q.waiting) <= q.maximum {
		return displaced, false
	}
	victim := 0
	for i := range q.waiting {
		if q.rank(q.waiting[i].request) > q.rank(q.waiting[victim].request) {
			victim = i
		}
	}
	return q.take(victim), true
}

// Pop takes the request to be served next.
func (q *Queue[R]) Pop(now time.Time) (request R, ok bool) {
	if len(q.waiting) == 0 {
		return request, false
	}
	newestFirst := q.overloaded(now)
	next := 0
	for i := range q.waiting {
		rank, best := q.rank(q.waiting[i].request), q.rank(q.waiting[next].request)
		if rank < best || newestFirst && rank == best {
			next = i
		}
	}
	return q.take(next), true
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

package limit

import "time"

const (
	// DefaultMaximumWaiting is the maximum number of requests of one workspace waiting at one daemon.
	DefaultMaximumWaiting = 256

	longWait      = 100 * time.Millisecond
	overloadDelay = 5 * time.Second // longer than the replacement of an owner takes
)

// A Queue holds the requests of one workspace that wait for tokens at one daemon. The most important requests are
// served first, and among equals the oldest. If the oldest request has waited for 100 ms or more throughout the last
// 5 s, the newest among equals is served first, so that requests that are served have waited only briefly.
type Queue[R comparable] struct {
	maximum       int
	rank          func(R) int
	waiting       []waitingRequest[R] // in order of arrival
	longWaitSince time.Time           // start of the current period of long waits, or zero
}

type waitingRequest[R comparable] struct {
	request   R
	arrivedAt time.Time
}

// A QueueOption configures a Queue.
type QueueOption[R comparable] func(*Queue[R])

// WithRank orders requests by rank, where 0 is the most important. By default all requests have the same rank.
func WithRank[R comparable](rank func(R) int) QueueOption[R] {
	return func(q *Queue[R]) { q.rank = rank }
}

// NewQueue returns an empty queue that holds up to maximum requests.
func NewQueue[R comparable](maximum int, opts ...QueueOption[R]) *Queue[R] {
	q := &Queue[R]{maximum: maximum, rank: func(R) int { return 0 }}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Push adds a request. If the queue is over its maximum, Push removes the oldest of the least important requests and
// returns it with true; the caller must refuse it.
func (q *Queue[R]) Push(now time.Time, request R) (displaced R, full bool) {
	q.waiting = append(q.waiting, waitingRequest[R]{request, now})
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

// Pop removes and returns the next request to serve; ok is false if the queue is empty.
func (q *Queue[R]) Pop(now time.Time) (request R, ok bool) {
	if len(q.waiting) == 0 {
		return request, false
	}
	newestFirst := q.overloaded(now)
	next := 0
	for i := range q.waiting {
		rank, bestRank := q.rank(q.waiting[i].request), q.rank(q.waiting[next].request)
		if rank < bestRank || newestFirst && rank == bestRank {
			next = i
		}
	}
	return q.take(next), true
}

func (q *Queue[R]) overloaded(now time.Time) bool {
	switch {
	case now.Sub(q.waiting[0].arrivedAt) < longWait:
		q.longWaitSince = time.Time{}
	case q.longWaitSince.IsZero():
		q.longWaitSince = now
	}
	return !q.longWaitSince.IsZero() && now.Sub(q.longWaitSince) >= overloadDelay
}

// Remove removes a request and reports whether it was waiting.
func (q *Queue[R]) Remove(request R) bool {
	for i := range q.waiting {
		if q.waiting[i].request == request {
			q.take(i)
			return true
		}
	}
	return false
}

// RemoveFunc removes the requests for which remove returns true and returns them, oldest first.
func (q *Queue[R]) RemoveFunc(remove func(R) bool) []R {
	var removed []R
	for i := 0; i < len(q.waiting); {
		if remove(q.waiting[i].request) {
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

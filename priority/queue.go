package priority

import (
	"slices"
	"time"
)

// queue holds the waiting requests by priority, the most important first.
type queue struct {
	classes       []*class // sorted by order
	begunFirst    bool     // nested requests go before others of the same priority
	byID          map[uint64]*waiter
	nonEmptySince time.Time // when the queue last became non-empty
}

func newQueue() *queue {
	return &queue{byID: make(map[uint64]*waiter)}
}

func (q *queue) len() int {
	return len(q.byID)
}

func (q *queue) push(now, waitDeadline time.Time, r Request) {
	if len(q.byID) == 0 {
		q.nonEmptySince = now
	}
	w := &waiter{request: r, order: q.orderOf(&r), queuedAt: now, waitDeadline: waitDeadline}
	q.classFor(w.order).push(w)
	q.byID[r.ID] = w
}

func (q *queue) remove(w *waiter) {
	delete(q.byID, w.request.ID)
	q.classFor(w.order).remove(w)
}

// next returns the waiter to dispatch, or nil if the queue is empty. What has begun goes oldest first, if it goes before
// others: a tree whose first calls have waited must not lose them to the calls of a later one.
func (q *queue) next(newestFirst bool) *waiter {
	for _, c := range q.classes {
		if c.waiting > 0 {
			return c.next(newestFirst && !q.holdsBegun(c))
		}
	}
	return nil
}

// dispatch removes the waiter of an admitted request and charges its flow.
func (q *queue) dispatch(w *waiter) {
	q.classFor(w.order).charge(w.flow)
	q.remove(w)
}

// victim returns the waiter to shed, of the least important priority with waiting requests, or nil if the
// queue is empty.
func (q *queue) victim() *waiter {
	for _, c := range slices.Backward(q.classes) {
		if c.waiting > 0 {
			return c.victim()
		}
	}
	return nil
}

// late returns the waiters that can no longer meet their deadline.
func (q *queue) late(now time.Time, serviceTimes *serviceTimes) []*waiter {
	var late []*waiter
	q.each(func(w *waiter) {
		if !serviceTimes.meetsDeadline(now, &w.request) {
			late = append(late, w)
		}
	})
	return late
}

// timedOut returns the waiters past their wait deadline, and every waiter that is less important than the
// first of them. Less important requests must not stay in the queue when a more important one is refused.
func (q *queue) timedOut(now time.Time) []*waiter {
	var timedOut []*waiter
	q.each(func(w *waiter) {
		if len(timedOut) > 0 && w.request.Priority > timedOut[0].request.Priority || w.timedOut(now) {
			timedOut = append(timedOut, w)
		}
	})
	return timedOut
}

// lessImportantThan returns the waiters with a less important priority than the given one.
func (q *queue) lessImportantThan(priority int) []*waiter {
	var waiters []*waiter
	q.each(func(w *waiter) {
		if w.request.Priority > priority {
			waiters = append(waiters, w)
		}
	})
	return waiters
}

// each calls visit for every waiter: by priority, then by flow, then from oldest to newest.
func (q *queue) each(visit func(*waiter)) {
	for _, c := range q.classes {
		for _, flow := range c.active {
			for w := flow.oldest; w != nil; w = w.next {
				visit(w)
			}
		}
	}
}

// orderOf returns the order in which r is dispatched: by priority, then what has begun if it goes first.
func (q *queue) orderOf(r *Request) int {
	order := 2 * r.Priority
	if q.begunFirst && !r.Nested {
		order++ // as holdsBegun expects
	}
	return order
}

// holdsBegun reports whether the waiting requests of c have begun and go before others of their priority.
func (q *queue) holdsBegun(c *class) bool {
	return q.begunFirst && c.order%2 == 0
}

// classFor returns the class of an order, and creates it if needed.
func (q *queue) classFor(order int) *class {
	i, found := slices.BinarySearchFunc(q.classes, order, func(c *class, o int) int { return c.order - o })
	if !found {
		q.classes = slices.Insert(q.classes, i, newClass(order))
	}
	return q.classes[i]
}

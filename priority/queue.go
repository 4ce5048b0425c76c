package priority

import (
	"slices"
	"time"
)

// queue holds the waiting requests by priority, the most important first.
type queue struct {
	classes       []*class // sorted by priority
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
	w := &waiter{request: r, queuedAt: now, waitDeadline: waitDeadline}
	q.classFor(r.Priority).push(w)
	q.byID[r.ID] = w
}

func (q *queue) remove(w *waiter) {
	delete(q.byID, w.request.ID)
	q.classFor(w.request.Priority).remove(w)
}

// next returns the waiter to dispatch, or nil if the queue is empty.
func (q *queue) next(newestFirst bool) *waiter {
	for _, c := range q.classes {
		if c.waiting > 0 {
			return c.next(newestFirst)
		}
	}
	return nil
}

// dispatch removes the waiter of an admitted request and charges its flow.
func (q *queue) dispatch(w *waiter) {
	q.classFor(w.request.Priority).charge(w.flow)
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

// classFor returns the class of priority, and creates it if needed.
func (q *queue) classFor(priority int) *class {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return c.priority - p })
	if !found {
		q.classes = slices.Insert(q.classes, i, newClass(priority))
	}
	return q.classes[i]
}

package priority

import (
	"slices"
	"time"
)

// queue holds the waiting requests, most important priority first.
type queue struct {
	classes  []*class // in the order of priority
	byID     map[uint64]*waiter
	nonEmpty time.Time // since when requests have waited without a break
}

func newQueue() *queue {
	return &queue{byID: make(map[uint64]*waiter)}
}

func (q *queue) len() int {
	return len(q.byID)
}

func (q *queue) push(now, until time.Time, r Request) {
	if len(q.byID) == 0 {
		q.nonEmpty = now
	}
	w := &waiter{request: r, since: now, until: until}
	q.class(r.Priority).push(w)
	q.byID[r.ID] = w
}

func (q *queue) remove(w *waiter) {
	delete(q.byID, w.request.ID)
	q.class(w.request.Priority).remove(w)
}

// next returns the waiter to dispatch, or nil.
func (q *queue) next(newestFirst bool) *waiter {
	for _, c := range q.classes {
		if c.waiting > 0 {
			return c.next(newestFirst)
		}
	}
	return nil
}

// dispatch removes a waiter that is admitted and charges its workspace.
func (q *queue) dispatch(w *waiter) {
	q.class(w.request.Priority).charge(w.lane)
	q.remove(w)
}

// victim returns the waiter to shed: one of the least important priority that waits.
func (q *queue) victim() *waiter {
	for _, c := range slices.Backward(q.classes) {
		if c.waiting > 0 {
			return c.victim()
		}
	}
	return nil
}

// late returns the waiters that can't meet their deadline any more.
func (q *queue) late(now time.Time, service *serviceTimes) []*waiter {
	var late []*waiter
	q.each(func(w *waiter) {
		if !service.meets(now, &w.request) {
			late = append(late, w)
		}
	})
	return late
}

// impatient returns the waiters that have waited for as long as they may at the most important priority that has
// any, and all that are less important: none of them is to wait on in their place.
func (q *queue) impatient(now time.Time) []*waiter {
	var impatient []*waiter
	q.each(func(w *waiter) {
		if len(impatient) > 0 && w.request.Priority > impatient[0].request.Priority || w.impatient(now) {
			impatient = append(impatient, w)
		}
	})
	return impatient
}

// below returns the waiters that are less important than priority.
func (q *queue) below(priority int) []*waiter {
	var below []*waiter
	q.each(func(w *waiter) {
		if w.request.Priority > priority {
			below = append(below, w)
		}
	})
	return below
}

// each calls f for all waiters in a fixed order.
func (q *queue) each(f func(*waiter)) {
	for _, c := range q.classes {
		for _, l := range c.active {
			for w := l.oldest; w != nil; w = w.next {
				f(w)
			}
		}
	}
}

func (q *queue) class(priority int) *class {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return c.priority - p })
	if !found {
		q.classes = slices.Insert(q.classes, i, newClass(priority))
	}
	return q.classes[i]
}

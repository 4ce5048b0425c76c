package limits

import (
	"container/heap"
	"time"
)

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (e eventHeap) Len() int      { return len(e) }
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e eventHeap) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

// Push implements heap.Interface.
func (e *eventHeap) Push(value any) { *e = append(*e, value.(event)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

// schedule runs functions in the order of their simulated times, and in order of insertion at equal times.
type schedule struct {
	now      time.Time
	sequence int
	events   eventHeap
}

func (s *schedule) at(at time.Time, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at, s.sequence, run})
}

func (s *schedule) after(wait time.Duration, run func()) {
	s.at(s.now.Add(wait), run)
}

func (s *schedule) runUntil(end time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

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

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

// Push implements heap.Interface.
func (e *events) Push(value any) { *e = append(*e, value.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

// schedule runs functions in the order of their times.
type schedule struct {
	now      time.Time
	sequence int
	events   events
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

package timeline

import (
	"sync"
	"time"
)

// A Ring is a ring buffer of the latest events of one process. It is safe for concurrent use.
type Ring struct {
	clock   *Clock
	process string
	mu      sync.Mutex
	events  []Event
	oldest  int
}

// NewRing returns a Ring that keeps up to size events of process, and at least one.
func NewRing(clock *Clock, process string, size int) *Ring {
	return &Ring{clock: clock, process: process, events: make([]Event, 0, max(size, 1))}
}

// Record adds an event of the component part. It replaces the oldest event if the ring is full.
func (r *Ring) Record(now time.Time, part, text string) {
	event := Event{At: r.clock.Now(now), Process: r.process, Part: part, Text: text}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.oldest] = event
	r.oldest = (r.oldest + 1) % len(r.events)
}

// Events returns the events in the ring, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.events))
	events = append(events, r.events[r.oldest:]...)
	return append(events, r.events[:r.oldest]...)
}

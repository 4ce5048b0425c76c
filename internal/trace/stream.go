package trace

import (
	"slices"
	"sync"
)

// A Stream holds the first steps of one decision package. It discards steps beyond its maximum, so that the kept steps
// can be replayed from the beginning.
type Stream[S Step] struct {
	mu       sync.Mutex
	steps    []S
	maxSteps int
}

func newStream[S Step](maxSteps int) *Stream[S] {
	return &Stream[S]{maxSteps: maxSteps}
}

func (s *Stream[S]) add(step S) {
	s.recordCall(func() S { return step })
}

// recordCall runs call under the lock, records the step that it returns, and returns that step.
func (s *Stream[S]) recordCall(call func() S) S {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := call()
	if len(s.steps) < s.maxSteps {
		s.steps = append(s.steps, step)
	}
	return step
}

// stop makes the stream discard all further steps.
func (s *Stream[S]) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxSteps = len(s.steps)
}

// Steps returns a copy of the recorded steps.
func (s *Stream[S]) Steps() []S {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.steps)
}

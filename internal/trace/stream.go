package trace

import (
	"slices"
	"sync"
)

// A Stream holds the steps of one decision package up to a bound: what comes later is left out, so that
// the rest can be replayed from its beginning.
type Stream[S Step] struct {
	mu    sync.Mutex
	steps []S
	bound int
}

func newStream[S Step](bound int) *Stream[S] {
	return &Stream[S]{bound: bound}
}

func (s *Stream[S]) add(step S) {
	s.do(func() S { return step })
}

// do makes one call after the other, and records each.
func (s *Stream[S]) do(call func() S) S {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := call()
	if len(s.steps) < s.bound {
		s.steps = append(s.steps, step)
	}
	return step
}

// stop leaves out what comes from now on.
func (s *Stream[S]) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound = len(s.steps)
}

// Steps returns what was recorded so far.
func (s *Stream[S]) Steps() []S {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.steps)
}

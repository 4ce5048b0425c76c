package daemon

import (
	"slices"
	"sync"

	"sapphirespread.example/priority"
)

// runningCalls finds the calls that run at the backend server by the whole request that they are part of, for backend
// servers that make calls of their own without a call token.
type runningCalls struct {
	mu      sync.Mutex
	byWhole map[uint64][]*call
}

func newRunningCalls() *runningCalls {
	return &runningCalls{byWhole: make(map[uint64][]*call)}
}

func (r *runningCalls) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byWhole[c.whole] = append(r.byWhole[c.whole], c)
}

func (r *runningCalls) remove(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := r.byWhole[c.whole]
	for i, other := range left {
		if other == c {
			left = append(left[:i], left[i+1:]...)
			break
		}
	}
	if len(left) == 0 {
		delete(r.byWhole, c.whole)
		return
	}
	r.byWhole[c.whole] = left
}

// called notes at all calls of the whole request that a deeper call was answered well: which of them made it is not known.
func (r *runningCalls) called(whole uint64, callee priority.Callee) {
	r.mu.Lock()
	running := slices.Clone(r.byWhole[whole])
	r.mu.Unlock()
	for _, c := range running {
		c.called(callee)
	}
}

// find returns a call of the whole request that runs here; where there are several, they are alike to what is made below.
func (r *runningCalls) find(whole uint64) *call {
	r.mu.Lock()
	defer r.mu.Unlock()
	if running := r.byWhole[whole]; len(running) > 0 {
		return running[0]
	}
	return nil
}

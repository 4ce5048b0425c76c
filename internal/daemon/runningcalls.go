package daemon

import (
	"slices"
	"sync"

	"sapphirespread.example/priority"
)

// runningCalls finds the calls that run at the backend server by the whole request that they are part of, for backend
// servers that make calls of their own without a call token.
type runningCalls struct {
	mu         sync.Mutex
	byRootHash map[uint64][]*call
}

func newRunningCalls() *runningCalls {
	return &runningCalls{byRootHash: make(map[uint64][]*call)}
}

func (r *runningCalls) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byRootHash[c.rootIDHash] = append(r.byRootHash[c.rootIDHash], c)
}

func (r *runningCalls) remove(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	remaining := r.byRootHash[c.rootIDHash]
	for i, other := range remaining {
		if other == c {
			remaining = append(remaining[:i], remaining[i+1:]...)
			break
		}
	}
	if len(remaining) == 0 {
		delete(r.byRootHash, c.rootIDHash)
		return
	}
	r.byRootHash[c.rootIDHash] = remaining
}

// called notes at all calls of the whole request that a deeper call was answered well: which of them made it is not known.
func (r *runningCalls) recordCallee(rootHash uint64, callee priority.Callee) {
	r.mu.Lock()
	running := slices.Clone(r.byRootHash[rootHash])
	r.mu.Unlock()
	for _, c := range running {
		c.recordCallee(callee)
	}
}

// find returns a call of the whole request that runs here; where there are several, they are alike to what is made below.
func (r *runningCalls) find(rootHash uint64) *call {
	r.mu.Lock()
	defer r.mu.Unlock()
	if running := r.byRootHash[rootHash]; len(running) > 0 {
		return running[0]
	}
	return nil
}

package daemon

import (
	"slices"
	"sync"

	"sapphirespread.example/priority"
)

// runningCalls indexes the calls that run at the backend server by their root request. It finds the parent of nested
// calls from backend servers that don't use call tokens.
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

// recordCallee records a successful nested call to callee at all running calls of the root request, because it is
// unknown which of them made it.
func (r *runningCalls) recordCallee(rootHash uint64, callee priority.Callee) {
	r.mu.Lock()
	running := slices.Clone(r.byRootHash[rootHash])
	r.mu.Unlock()
	for _, c := range running {
		c.recordCallee(callee)
	}
}

// find returns a running call of the root request, or nil. If there are several, a nested call takes the same
// properties from each of them.
func (r *runningCalls) find(rootHash uint64) *call {
	r.mu.Lock()
	defer r.mu.Unlock()
	if running := r.byRootHash[rootHash]; len(running) > 0 {
		return running[0]
	}
	return nil
}

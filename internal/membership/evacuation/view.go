package evacuation

import (
	"sync"
	"sync/atomic"
)

// A View is what a daemon knows of the failure domains out of use. Without word from control it keeps the last state that
// it learnt. It is safe for concurrent use.
type View struct {
	state    atomic.Pointer[State]
	mu       sync.Mutex // serializes changes with their calls of onChange
	onChange func(State)
}

// NewView returns a view with all failure domains in use, which calls onChange with each state that it takes, in order.
func NewView(onChange func(State)) *View {
	v := &View{onChange: onChange}
	v.state.Store(&State{})
	return v
}

// State returns the last state.
func (v *View) State() State { return *v.state.Load() }

// Version returns the version of the last state.
func (v *View) Version() uint64 { return v.state.Load().Version }

// Out reports whether a failure domain is out of use.
func (v *View) Out(domain string) bool { return v.state.Load().Out(domain) }

// ApplyLeader takes a state of the leader that the daemon is attached to, unless it is older than the current one of the
// same cluster, and reports whether it did.
func (v *View) ApplyLeader(next State) bool {
	return v.apply(next, func(current State) bool {
		return next.Cluster != current.Cluster || next.Version > current.Version
	})
}

// ApplyPeer takes a newer state that another daemon reported, and reports whether it did. A state of another cluster is
// left to the leader, which knows which cluster replaced which.
func (v *View) ApplyPeer(next State) bool {
	return v.apply(next, func(current State) bool {
		return next.Cluster == current.Cluster && next.Version > current.Version
	})
}

func (v *View) apply(next State, acceptable func(current State) bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !acceptable(*v.state.Load()) {
		return false
	}
	v.state.Store(&next)
	v.onChange(next)
	return true
}

package configuration

import (
	"sync"
	"sync/atomic"
	"time"
)

// A View holds the configuration revision that a daemon serves. It is safe for concurrent use, and Current takes no
// lock.
//
// A view never moves to a lower revision, whichever control instance sends it. It is fresh if, within the freshness
// lease, a quorum confirmed that no higher revision was in force.
type View struct {
	freshness time.Duration
	current   atomic.Pointer[viewState]
	mu        sync.Mutex
	pending   confirmation
}

// viewState is an immutable state of a View, replaced as a whole on each change.
type viewState struct {
	snapshot  Snapshot
	confirmed time.Time
}

// confirmation records that revision was in force at some time after sentAt.
type confirmation struct {
	sentAt   time.Time
	revision uint64
}

// NewView returns a view at revision 0 with an empty set. It is not fresh until its first confirmation.
func NewView(opts ...ViewOption) *View {
	v := &View{freshness: defaultFreshness}
	for _, opt := range opts {
		opt(v)
	}
	v.current.Store(&viewState{snapshot: newSnapshot(0, Set{})})
	return v
}

// Current returns the snapshot of the current revision and whether the view is fresh at now.
func (v *View) Current(now time.Time) (snapshot Snapshot, fresh bool) {
	state := v.current.Load()
	fresh = !state.confirmed.IsZero() && now.Sub(state.confirmed) < v.freshness
	return state.snapshot, fresh
}

// ConfirmationAge returns the time from the request of the latest effective confirmation to now, or a negative duration
// if there is none.
func (v *View) ConfirmationAge(now time.Time) time.Duration {
	confirmed := v.current.Load().confirmed
	if confirmed.IsZero() {
		return -1
	}
	return now.Sub(confirmed)
}

// Revision returns the number of the current revision.
func (v *View) Revision() uint64 {
	return v.current.Load().snapshot.Revision
}

// Apply moves the view to revision to. The changes build the complete set if whole is true, and are relative to
// revision from otherwise. Applying the current revision again does nothing.
// Apply returns an error of type RevisionOld, RevisionGap or SetBroken and leaves the view unchanged if it fails.
func (v *View) Apply(from, to uint64, whole bool, changes []Change) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.current.Load()
	current := state.snapshot.Revision
	if to == current {
		return nil
	}
	if to < current {
		return RevisionOld.New("applying revision %d: the view is already at revision %d", to, current)
	}
	if !whole && from > current {
		return RevisionGap.New("applying revision %d: its changes start at revision %d, but the view is at revision %d", to, from, current)
	}
	base := state.snapshot.Set
	if whole {
		base = Set{}
	}
	set, err := base.Apply(changes)
	if err == nil {
		err = set.Check()
	}
	if err != nil {
		return SetBroken.Wrap(err, "applying revision %d", to)
	}
	next := &viewState{snapshot: newSnapshot(to, set), confirmed: state.confirmed}
	if v.pending.revision <= to {
		next.confirmed = later(next.confirmed, v.pending.sentAt)
	}
	v.current.Store(next)
	return nil
}

// Confirm records a quorum-backed response to a request sent at sentAt, which states that revision was in force after
// that time. The confirmation takes effect when the view reaches that revision.
func (v *View) Confirm(sentAt time.Time, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.current.Load()
	if revision > state.snapshot.Revision {
		if sentAt.After(v.pending.sentAt) {
			v.pending = confirmation{sentAt, revision}
		}
		return
	}
	if !sentAt.After(state.confirmed) {
		return
	}
	v.current.Store(&viewState{snapshot: state.snapshot, confirmed: sentAt})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

package configuration

import (
	"sync"
	"sync/atomic"
	"time"
)

// A View holds the revision that a daemon serves. Any number of goroutines may use it, and Current takes no lock.
//
// It never applies a lower revision, whichever control instance it comes from. It is fresh while a quorum
// confirmed, within the freshness lease, that no revision above the one held was in force.
type View struct {
	freshness time.Duration
	current   atomic.Pointer[viewState]
	mu        sync.Mutex
	pending   confirmation
}

// viewState is what one read of a View returns.
type viewState struct {
	snapshot  Snapshot
	confirmed time.Time
}

// confirmation tells that revision was the one in force at some time after sentAt.
type confirmation struct {
	sentAt   time.Time
	revision uint64
}

// NewView returns a view at revision 0 with an empty set, not fresh until it is confirmed.
func NewView(opts ...ViewOption) *View {
	v := &View{freshness: defaultFreshness}
	for _, opt := range opts {
		opt(v)
	}
	v.current.Store(&viewState{snapshot: newSnapshot(0, Set{})})
	return v
}

// Current returns the revision held and whether it was confirmed within the freshness lease at now.
func (v *View) Current(now time.Time) (snapshot Snapshot, fresh bool) {
	state := v.current.Load()
	fresh = !state.confirmed.IsZero() && now.Sub(state.confirmed) < v.freshness
	return state.snapshot, fresh
}

// ConfirmedAgo returns how long before now the confirmation that counts was asked for, or a negative time for none.
func (v *View) ConfirmedAgo(now time.Time) time.Duration {
	confirmed := v.current.Load().confirmed
	if confirmed.IsZero() {
		return -1
	}
	return now.Sub(confirmed)
}

// Revision returns the revision held.
func (v *View) Revision() uint64 {
	return v.current.Load().snapshot.Revision
}

// Apply moves the view to revision to by a whole set or by the changes since from. A repeat of the revision held is no error.
// It fails with RevisionOld, RevisionGap or SetBroken and then leaves the view as it was.
func (v *View) Apply(from, to uint64, whole bool, changes []Change) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.current.Load()
	held := state.snapshot.Revision
	if to == held {
		return nil
	}
	if to < held {
		return RevisionOld.New("applying revision %d: revision %d is in force", to, held)
	}
	if !whole && from > held {
		return RevisionGap.New("applying revision %d: it builds on %d, but revision %d is in force", to, from, held)
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

// Confirm notes a quorum-backed answer to a question sent at sentAt: revision was in force after that time.
// It counts once the view holds that revision.
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

package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

const listShards = 16

// A List is a daemon's copy of the register, plus the fingerprints that the daemon quarantined itself. It is safe for
// concurrent use.
type List struct {
	applyMu sync.Mutex // serializes Apply and protects version
	version uint64
	count   atomic.Int64 // entries and local holds in all shards
	shards  [listShards]listShard
}

type listShard struct {
	mu         sync.RWMutex
	entries    map[Fingerprint]listEntry
	localHolds map[Fingerprint]time.Time // ends of local quarantines that the register may not have recorded yet
}

type listEntry struct {
	state State
	until time.Time
}

// NewList returns an empty list.
func NewList() *List {
	l := &List{}
	for i := range l.shards {
		l.shards[i].entries = make(map[Fingerprint]listEntry)
		l.shards[i].localHolds = make(map[Fingerprint]time.Time)
	}
	return l
}

// Apply applies a delta of the register. If full is set, it replaces all entries. The Until times of the entries must
// be in the daemon's own time. Apply ignores a delta older than the list, and one of the same version unless it is
// full.
func (l *List) Apply(version uint64, full bool, entries []Entry, cleared []Fingerprint) {
	l.applyMu.Lock()
	defer l.applyMu.Unlock()
	if version < l.version || version == l.version && !full {
		return
	}
	l.version = version
	if full {
		l.retainOnly(entries)
	}
	for _, e := range entries {
		l.set(e)
	}
	for _, fp := range cleared {
		l.remove(fp)
	}
}

// Reset sets the version to 0, so that the list accepts the full register of a new control leader next.
func (l *List) Reset() {
	l.applyMu.Lock()
	defer l.applyMu.Unlock()
	l.version = 0
}

// Version returns the register version of the list.
func (l *List) Version() uint64 {
	l.applyMu.Lock()
	defer l.applyMu.Unlock()
	return l.version
}

// State returns the state of a fingerprint at now.
func (l *List) State(now time.Time, fp Fingerprint) State {
	if l.count.Load() == 0 {
		return Clear
	}
	s := l.shard(fp)
	s.mu.RLock()
	entry, known := s.entries[fp]
	localUntil, localHold := s.localHolds[fp]
	s.mu.RUnlock()
	switch {
	case known && now.Before(entry.until):
		return entry.state
	case localHold && now.Before(localUntil):
		return Quarantined
	default:
		return Clear
	}
}

// QuarantineLocally quarantines a fingerprint locally after it crashed a target, until the given time or until a delta
// of the register contains the fingerprint. It does nothing while the list has an entry for the fingerprint.
func (l *List) QuarantineLocally(now time.Time, fp Fingerprint, until time.Time) {
	s := l.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry, known := s.entries[fp]; known && now.Before(entry.until) {
		return
	}
	for other, otherUntil := range s.localHolds {
		if !now.Before(otherUntil) {
			l.removeLocalHold(s, other)
		}
	}
	if _, held := s.localHolds[fp]; !held {
		l.count.Add(1)
	}
	s.localHolds[fp] = until
}

// removeLocalHold removes the local quarantine of a fingerprint. The caller holds the shard's lock.
func (l *List) removeLocalHold(s *listShard, fp Fingerprint) {
	if _, held := s.localHolds[fp]; held {
		l.count.Add(-1)
		delete(s.localHolds, fp)
	}
}

func (l *List) retainOnly(entries []Entry) {
	keep := make(map[Fingerprint]bool, len(entries))
	for _, e := range entries {
		keep[e.Fingerprint] = true
	}
	for i := range l.shards {
		for _, fp := range l.shards[i].fingerprintsExcept(keep) {
			l.remove(fp)
		}
	}
}

func (s *listShard) fingerprintsExcept(keep map[Fingerprint]bool) []Fingerprint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var others []Fingerprint
	for fp := range s.entries {
		if !keep[fp] {
			others = append(others, fp)
		}
	}
	return others
}

func (l *List) set(e Entry) {
	s := l.shard(e.Fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, held := s.entries[e.Fingerprint]; !held {
		l.count.Add(1)
	}
	l.removeLocalHold(s, e.Fingerprint)
	s.entries[e.Fingerprint] = listEntry{state: e.State, until: e.Until}
}

func (l *List) remove(fp Fingerprint) {
	s := l.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, held := s.entries[fp]; held {
		l.count.Add(-1)
		delete(s.entries, fp)
	}
	l.removeLocalHold(s, fp)
}

func (l *List) shard(fp Fingerprint) *listShard {
	return &l.shards[fp[0]%listShards]
}

package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

const listShards = 16

// A List is what a daemon knows of the register. It is safe for concurrent use.
type List struct {
	apply   sync.Mutex // orders deltas
	version uint64
	held    atomic.Int64
	shards  [listShards]listShard
}

type listShard struct {
	mu      sync.RWMutex
	entries map[Fingerprint]listEntry
	own     map[Fingerprint]time.Time // until when, where the register may not know yet
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
		l.shards[i].own = make(map[Fingerprint]time.Time)
	}
	return l
}

// Apply takes one delta, with the ends of the entries in the daemon's own time. An older one than held
// changes nothing.
func (l *List) Apply(version uint64, whole bool, entries []Entry, cleared []Fingerprint) {
	l.apply.Lock()
	defer l.apply.Unlock()
	if version < l.version || version == l.version && !whole {
		return
	}
	l.version = version
	if whole {
		l.keepOnly(entries)
	}
	for _, e := range entries {
		l.set(e)
	}
	for _, fp := range cleared {
		l.remove(fp)
	}
}

// Reset forgets the version, so that the whole of another control leader is taken next.
func (l *List) Reset() {
	l.apply.Lock()
	defer l.apply.Unlock()
	l.version = 0
}

// Version returns the version that the list holds.
func (l *List) Version() uint64 {
	l.apply.Lock()
	defer l.apply.Unlock()
	return l.version
}

// Verdict returns what is held against a fingerprint at now.
func (l *List) Verdict(now time.Time, fp Fingerprint) State {
	if l.held.Load() == 0 {
		return Clear
	}
	s := l.shard(fp)
	s.mu.RLock()
	e, held := s.entries[fp]
	until, own := s.own[fp]
	s.mu.RUnlock()
	switch {
	case held && now.Before(e.until):
		return e.state
	case own && now.Before(until):
		return Quarantined
	default:
		return Clear
	}
}

// Hold quarantines a fingerprint that crashed a target until then, or until the register tells of it.
func (l *List) Hold(now time.Time, fp Fingerprint, until time.Time) {
	s := l.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, told := s.entries[fp]; told {
		return
	}
	for other, ends := range s.own {
		if !now.Before(ends) {
			l.release(s, other)
		}
	}
	if _, held := s.own[fp]; !held {
		l.held.Add(1)
	}
	s.own[fp] = until
}

// release drops what is held without the register; the shard is locked.
func (l *List) release(s *listShard, fp Fingerprint) {
	if _, held := s.own[fp]; held {
		l.held.Add(-1)
		delete(s.own, fp)
	}
}

func (l *List) keepOnly(entries []Entry) {
	keep := make(map[Fingerprint]bool, len(entries))
	for _, e := range entries {
		keep[e.Fingerprint] = true
	}
	for i := range l.shards {
		for _, fp := range l.shards[i].others(keep) {
			l.remove(fp)
		}
	}
}

func (s *listShard) others(keep map[Fingerprint]bool) []Fingerprint {
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
		l.held.Add(1)
	}
	l.release(s, e.Fingerprint)
	s.entries[e.Fingerprint] = listEntry{state: e.State, until: e.Until}
}

func (l *List) remove(fp Fingerprint) {
	s := l.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, held := s.entries[fp]; held {
		l.held.Add(-1)
		delete(s.entries, fp)
	}
	l.release(s, fp)
}

func (l *List) shard(fp Fingerprint) *listShard {
	return &l.shards[fp[0]%listShards]
}

package quarantine

import (
	"bytes"
	"slices"
	"sync"
)

const watchShards = 16

// A Watch keeps the fingerprints in flight at one backend server. It is safe for concurrent use.
type Watch struct {
	shards [watchShards]watchShard
}

type watchShard struct {
	mu         sync.Mutex
	generation uint64 // grows with each crash
	running    map[Fingerprint]int
}

// A Run is one request in flight.
type Run struct {
	fingerprint Fingerprint
	generation  uint64
}

// NewWatch returns a watch with nothing in flight.
func NewWatch() *Watch {
	w := &Watch{}
	for i := range w.shards {
		w.shards[i].running = make(map[Fingerprint]int)
	}
	return w
}

// Start notes a request before the backend server sees it.
func (w *Watch) Start(fp Fingerprint) Run {
	s := w.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[fp]++
	return Run{fingerprint: fp, generation: s.generation}
}

// End notes that a request is no longer in flight and reports whether no crash came in between.
func (w *Watch) End(run Run) bool {
	s := w.shard(run.fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if run.generation != s.generation {
		return false
	}
	if s.running[run.fingerprint]--; s.running[run.fingerprint] <= 0 {
		delete(s.running, run.fingerprint)
	}
	return true
}

// Crash returns the fingerprints that were in flight, in order, and forgets them.
func (w *Watch) Crash() []Fingerprint {
	var fps []Fingerprint
	for i := range w.shards {
		fps = w.shards[i].crash(fps)
	}
	slices.SortFunc(fps, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return fps
}

func (s *watchShard) crash(fps []Fingerprint) []Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	for fp := range s.running {
		fps = append(fps, fp)
	}
	clear(s.running)
	s.generation++
	return fps
}

func (w *Watch) shard(fp Fingerprint) *watchShard {
	return &w.shards[fp[0]%watchShards]
}

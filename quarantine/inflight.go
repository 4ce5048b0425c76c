package quarantine

import (
	"bytes"
	"slices"
	"sync"
)

const watchShards = 16

// An InFlight tracks the fingerprints of the requests in flight at one backend server. It is safe for concurrent use.
type InFlight struct {
	shards [watchShards]watchShard
}

type watchShard struct {
	mu         sync.Mutex
	generation uint64 // number of crashes
	running    map[Fingerprint]int
}

// A Run is the run of one request, from Start to End.
type Run struct {
	fingerprint Fingerprint
	generation  uint64
}

// NewInFlight returns a watch with nothing in flight.
func NewInFlight() *InFlight {
	w := &InFlight{}
	for i := range w.shards {
		w.shards[i].running = make(map[Fingerprint]int)
	}
	return w
}

// Start records a request as in flight. Call it before sending the request to the backend server.
func (w *InFlight) Start(fp Fingerprint) Run {
	s := w.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[fp]++
	return Run{fingerprint: fp, generation: s.generation}
}

// End records that a request is no longer in flight. It returns false if the backend server crashed after Start.
func (w *InFlight) End(run Run) bool {
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

// Crash returns the sorted fingerprints that were in flight at a crash and removes them.
func (w *InFlight) Crash() []Fingerprint {
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

func (w *InFlight) shard(fp Fingerprint) *watchShard {
	return &w.shards[fp[0]%watchShards]
}

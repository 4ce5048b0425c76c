package target

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 64

// shardedMap is a copy-on-write map from names to values. Reads take no lock, and a write copies one shard under that
// shard's lock.
type shardedMap[V any] struct {
	all [shardCount]shard[V]
}

type shard[V any] struct {
	mu     sync.Mutex
	values atomic.Pointer[map[string]V]
}

func (s *shardedMap[V]) get(name string) (V, bool) {
	values := s.shardFor(name).values.Load()
	if values == nil {
		var none V
		return none, false
	}
	value, ok := (*values)[name]
	return value, ok
}

// update replaces the value of name by the result of f, or deletes it if f reports false.
func (s *shardedMap[V]) update(name string, f func(old V, known bool) (V, bool)) {
	sh := s.shardFor(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	next := make(map[string]V)
	if values := sh.values.Load(); values != nil {
		next = maps.Clone(*values)
	}
	old, known := next[name]
	value, keep := f(old, known)
	if keep {
		next[name] = value
	} else {
		delete(next, name)
	}
	sh.values.Store(&next)
}

// forEach calls f for each value until f returns false.
func (s *shardedMap[V]) forEach(f func(name string, value V) bool) {
	for i := range s.all {
		values := s.all[i].values.Load()
		if values == nil {
			continue
		}
		for name, value := range *values {
			if !f(name, value) {
				return
			}
		}
	}
}

func (s *shardedMap[V]) shardFor(name string) *shard[V] {
	return &s.all[xxhash.Sum64String(name)%shardCount]
}

package target

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 64

// shards is a map from names to values in shards: reads take no lock, a write copies one shard under
// the shard's own lock.
type shards[V any] struct {
	all [shardCount]shard[V]
}

type shard[V any] struct {
	mu     sync.Mutex
	values atomic.Pointer[map[string]V]
}

func (s *shards[V]) get(name string) (V, bool) {
	values := s.of(name).values.Load()
	if values == nil {
		var none V
		return none, false
	}
	value, ok := (*values)[name]
	return value, ok
}

// change replaces the value of name by what f makes of it; f reports whether to keep one.
func (s *shards[V]) change(name string, f func(old V, known bool) (V, bool)) {
	sh := s.of(name)
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

// each calls f for every value until f reports false.
func (s *shards[V]) each(f func(name string, value V) bool) {
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

func (s *shards[V]) of(name string) *shard[V] {
	return &s.all[xxhash.Sum64String(name)%shardCount]
}

package standin

import (
	"hash/maphash"
	"sync"
)

const runShards = 16

// runCounter counts the requests that ran with each idempotency key.
type runCounter struct {
	seed   maphash.Seed
	shards [runShards]runShard
}

// runShard holds the counts of a subset of the keys under its own mutex.
type runShard struct {
	mu     sync.Mutex
	counts map[string]int
}

func newRunCounter() *runCounter {
	r := &runCounter{seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].counts = make(map[string]int)
	}
	return r
}

func (r *runCounter) add(key string) {
	shard := r.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.counts[key]++
}

func (r *runCounter) count(key string) int {
	shard := r.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.counts[key]
}

// each calls visit for every key with its count.
func (r *runCounter) each(visit func(key string, count int)) {
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		for key, count := range shard.counts {
			visit(key, count)
		}
		shard.mu.Unlock()
	}
}

func (r *runCounter) shard(key string) *runShard {
	return &r.shards[maphash.String(r.seed, key)%runShards]
}

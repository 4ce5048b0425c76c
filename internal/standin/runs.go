package standin

import (
	"hash/maphash"
	"sync"
)

const runShards = 16

// runs counts how often a request ran under each idempotency key.
type runs struct {
	seed   maphash.Seed
	shards [runShards]runShard
}

type runShard struct {
	mu     sync.Mutex
	counts map[string]int
}

func newRuns() *runs {
	r := &runs{seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].counts = make(map[string]int)
	}
	return r
}

func (r *runs) add(key string) {
	shard := r.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.counts[key]++
}

func (r *runs) count(key string) int {
	shard := r.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.counts[key]
}

// each calls visit with every key and its count.
func (r *runs) each(visit func(key string, count int)) {
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		for key, count := range shard.counts {
			visit(key, count)
		}
		shard.mu.Unlock()
	}
}

func (r *runs) shard(key string) *runShard {
	return &r.shards[maphash.String(r.seed, key)%runShards]
}

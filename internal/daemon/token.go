package daemon

import (
	"crypto/rand"
	"encoding/base64"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	tokenBytes  = 18
	tokenShards = 16
)

// A tokenTable maps the call tokens that this daemon issued to the running calls.
type tokenTable struct {
	shards [tokenShards]tokenShard
}

type tokenShard struct {
	mu    sync.Mutex
	calls map[string]*call
}

func newTokenTable() *tokenTable {
	table := &tokenTable{}
	for i := range table.shards {
		table.shards[i].calls = make(map[string]*call)
	}
	return table
}

func (t *tokenTable) shard(token string) *tokenShard {
	return &t.shards[xxhash.Sum64String(token)%tokenShards]
}

// issue returns a new unguessable token for parent.
func (t *tokenTable) issue(parent *call) string {
	var secret [tokenBytes]byte
	_, _ = rand.Read(secret[:])
	token := base64.RawURLEncoding.EncodeToString(secret[:])
	shard := t.shard(token)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.calls[token] = parent
	return token
}

// revoke makes token invalid.
func (t *tokenTable) revoke(token string) {
	shard := t.shard(token)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.calls, token)
}

// find returns the running call that token was issued to.
func (t *tokenTable) find(token string) (*call, bool) {
	shard := t.shard(token)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	parent, known := shard.calls[token]
	return parent, known
}

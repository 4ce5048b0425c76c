package daemon

import (
	"crypto/rand"
	"encoding/base64"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	callTokenBytes  = 18
	callTokenShards = 16
)

// callTokens maps the call tokens that this daemon issued to the running calls.
type callTokens struct {
	shards [callTokenShards]callTokenShard
}

type callTokenShard struct {
	mu    sync.Mutex
	calls map[string]*call
}

func newCallTokens() *callTokens {
	tokens := &callTokens{}
	for i := range tokens.shards {
		tokens.shards[i].calls = make(map[string]*call)
	}
	return tokens
}

func (t *callTokens) shardOf(token string) *callTokenShard {
	return &t.shards[xxhash.Sum64String(token)%callTokenShards]
}

// issue returns a new random token with which the backend server makes nested calls of parent.
func (t *callTokens) issue(parent *call) string {
	var random [callTokenBytes]byte
	_, _ = rand.Read(random[:])
	token := base64.RawURLEncoding.EncodeToString(random[:])
	shard := t.shardOf(token)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.calls[token] = parent
	return token
}

// revoke invalidates token.
func (t *callTokens) revoke(token string) {
	shard := t.shardOf(token)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.calls, token)
}

// find returns the running call that token was issued for.
func (t *callTokens) find(token string) (*call, bool) {
	shard := t.shardOf(token)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	parent, known := shard.calls[token]
	return parent, known
}

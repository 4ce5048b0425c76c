package limit

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const holderShards = 16

// A Holder spends granted tokens at one daemon; it is safe for concurrent use.
type Holder struct {
	prefetch   time.Duration
	idleAfter  time.Duration
	askTimeout time.Duration
	margin     float64
	coast      time.Duration
	lastAsk    atomic.Uint64
	heardAt    atomic.Pointer[time.Time] // when the owner gave the last sign of life
	pending    atomic.Pointer[time.Time] // when the first ask was sent of those that came after it
	lostAt     atomic.Pointer[time.Time] // when the connection to the owner was lost
	shards     [holderShards]shard
}

// NewHolder returns a holder without tokens.
func NewHolder(opts ...HolderOption) *Holder {
	h := &Holder{
		prefetch:   DefaultPrefetch,
		idleAfter:  DefaultIdleAfter,
		askTimeout: DefaultAskTimeout,
		margin:     DefaultClockRateMargin,
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Spend takes tokens of the workspace, all or none. It neither allocates nor blocks while the first grant has them.
func (h *Holder) Spend(now time.Time, workspace string, tokens int64) bool {
	a := h.shard(workspace).find(workspace)
	if a == nil {
		return tokens <= 0
	}
	return a.spend(now, tokens) || h.coast > 0 && a.coasts(now, tokens, h.silence(now), h.coast)
}

// silence returns how long the owner has owed a sign of life: since an ask that it has not answered, or since the connection
// to it was lost. An owner that is not asked owes none.
func (h *Holder) silence(now time.Time) time.Duration {
	heardAt := h.heardAt.Load()
	if heardAt == nil {
		return math.MaxInt64
	}
	silence := time.Duration(0)
	for _, since := range []*time.Time{h.pending.Load(), h.lostAt.Load()} {
		if since != nil && since.After(*heardAt) {
			silence = max(silence, now.Sub(*since))
		}
	}
	return silence
}

// Heard notes a sign of life of the owner that brings no grant, such as that it holds an ask back.
func (h *Holder) Heard(now time.Time) {
	h.heardAt.Store(&now)
}

// Wait notes that a request waits for a token of the workspace.
func (h *Holder) Wait(now time.Time, workspace string) {
	h.shard(workspace).wait(now, workspace)
}

// Unwait ends a Wait, whether the request got its token or left.
func (h *Holder) Unwait(workspace string) {
	if a := h.shard(workspace).find(workspace); a != nil {
		a.waiting.Add(-1)
	}
}

// Asks returns what to ask the owner for now. The asks must be sent at once, since their grants count from now.
func (h *Holder) Asks(now time.Time) []Ask {
	var asks []Ask
	for i := range h.shards {
		for _, a := range h.shards[i].accounts() {
			if ask, wanted := a.ask(now, h); wanted {
				asks = append(asks, ask)
			}
		}
	}
	if len(asks) > 0 && !h.owed() {
		h.pending.Store(&now)
	}
	return asks
}

// owed reports whether an ask was sent since the owner gave its last sign of life.
func (h *Holder) owed() bool {
	pending, heardAt := h.pending.Load(), h.heardAt.Load()
	return pending != nil && (heardAt == nil || pending.After(*heardAt))
}

// Accept takes a grant in, and tells whether it brought tokens for waiting requests. A grant that answers no
// open ask, or a second one for the same ask, is ignored.
func (h *Holder) Accept(now time.Time, g Grant) bool {
	// An owner that does not grant yet answers with nothing; it knows no more than none.
	if g.Tokens > 0 || g.RetryAfter > 0 {
		h.Heard(now)
	}
	a := h.shard(g.Workspace).find(g.Workspace)
	if a == nil {
		return false
	}
	return a.accept(now, g, h)
}

// Hint returns the Retry-After of the last grant that had no tokens for waiting requests, or 0.
func (h *Holder) Hint(workspace string) time.Duration {
	if a := h.shard(workspace).find(workspace); a != nil {
		return a.hint()
	}
	return 0
}

// Idle returns the grants that ended: spent, run out, close to running out, or not used for a while. Send them with
// each batch of asks: until then the owner counts spent tokens as open, and the burst is short of them. Each
// return must reach the owner at most once in effect, which the owner sees to.
func (h *Holder) Idle(now time.Time) []Return {
	var returns []Return
	for i := range h.shards {
		s := &h.shards[i]
		for _, a := range s.accounts() {
			returns = a.idle(now, h.idleAfter, h.askTimeout, returns)
		}
		s.forget(now)
	}
	return returns
}

// Drop gives up all grants, for a stop.
func (h *Holder) Drop() []Return {
	var returns []Return
	for i := range h.shards {
		for _, a := range h.shards[i].accounts() {
			returns = a.drop(returns)
		}
	}
	return returns
}

// Disconnect forgets the asks that are open, since their answers are lost with the connection to the owner.
func (h *Holder) Disconnect(now time.Time) {
	if lostAt, heardAt := h.lostAt.Load(), h.heardAt.Load(); lostAt == nil || heardAt != nil && !lostAt.After(*heardAt) {
		h.lostAt.Store(&now)
	}
	for i := range h.shards {
		for _, a := range h.shards[i].accounts() {
			a.disconnect()
		}
	}
}

func (h *Holder) shard(workspace string) *shard {
	return &h.shards[xxhash.Sum64String(workspace)%holderShards]
}

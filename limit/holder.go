package limit

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const holderShards = 16

// A Holder spends granted tokens at one daemon. It is safe for concurrent use.
type Holder struct {
	prefetch        time.Duration
	idleAfter       time.Duration
	requestTimeout  time.Duration
	margin          float64
	maximumFallback time.Duration
	lastRequestID   atomic.Uint64
	lastHeartbeat   atomic.Pointer[time.Time] // last heartbeat or answer of the owner
	pendingSince    atomic.Pointer[time.Time] // when the first grant request after lastHeartbeat was sent
	disconnectedAt  atomic.Pointer[time.Time] // when the connection to the owner was lost
	pressed         atomic.Pointer[map[string]bool]
	fallbackTokens  atomic.Int64
	// unreportedFallback is whether CollectFallbackSpending has anything to return.
	unreportedFallback atomic.Bool
	fallbackEvent      func(FallbackEvent)
	shards             [holderShards]shard
}

// NewHolder returns a holder without tokens.
func NewHolder(opts ...HolderOption) *Holder {
	h := &Holder{
		prefetch:       DefaultPrefetch,
		idleAfter:      DefaultIdleAfter,
		requestTimeout: DefaultRequestTimeout,
		margin:         DefaultClockRateMargin,
		fallbackEvent:  func(FallbackEvent) {},
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Spend takes tokens of the workspace, all or none, and reports whether it did. It neither allocates nor blocks while
// the first grant has enough tokens.
func (h *Holder) Spend(now time.Time, workspace string, tokens int64) bool {
	a := h.shard(workspace).find(workspace)
	if a == nil {
		return tokens <= 0
	}
	return a.spend(now, tokens) || h.maximumFallback > 0 && a.spendFallback(now, tokens, h)
}

// FallbackTokens returns the number of tokens spent without the owner since the start.
func (h *Holder) FallbackTokens() int64 {
	return h.fallbackTokens.Load()
}

// SetPressed sets the workspaces that use up their limit according to the owner. Fallback spending is stricter for them.
func (h *Holder) SetPressed(workspaces []string) {
	pressed := make(map[string]bool, len(workspaces))
	for _, workspace := range workspaces {
		pressed[workspace] = true
	}
	h.pressed.Store(&pressed)
}

func (h *Holder) isPressed(workspace string) bool {
	pressed := h.pressed.Load()
	return pressed != nil && (*pressed)[workspace]
}

// ownerSilence returns how long the owner has failed to respond: the time since the first unanswered grant request or
// since the loss of the connection, whichever is longer. It is 0 if no request is unanswered and the connection is up,
// and the maximum duration if the owner has never responded.
func (h *Holder) ownerSilence(now time.Time) (silence time.Duration, disconnected bool) {
	lastHeartbeat := h.lastHeartbeat.Load()
	if lastHeartbeat == nil {
		return math.MaxInt64, true
	}
	if since := h.pendingSince.Load(); since != nil && since.After(*lastHeartbeat) {
		silence = now.Sub(*since)
	}
	if since := h.disconnectedAt.Load(); since != nil && since.After(*lastHeartbeat) {
		silence, disconnected = max(silence, now.Sub(*since)), true
	}
	return silence, disconnected
}

// RecordHeartbeat records a heartbeat of the owner that carries no grant, for example the notice that a grant request
// is queued.
func (h *Holder) RecordHeartbeat(now time.Time) {
	h.lastHeartbeat.Store(&now)
}

// Wait registers a request that waits for a token of the workspace.
func (h *Holder) Wait(now time.Time, workspace string) {
	h.shard(workspace).wait(now, workspace)
}

// Unwait unregisters a waiting request, whether it got its token or was cancelled.
func (h *Holder) Unwait(workspace string) {
	if a := h.shard(workspace).find(workspace); a != nil {
		a.waiting.Add(-1)
	}
}

// GrantRequests returns the grant requests to send to the owner. The caller must send them immediately because the
// lifetime of the grants starts at now.
func (h *Holder) GrantRequests(now time.Time) []GrantRequest {
	var requests []GrantRequest
	for i := range h.shards {
		for _, a := range h.shards[i].accounts() {
			if request, wanted := a.grantRequest(now, h); wanted {
				requests = append(requests, request)
			}
		}
	}
	if len(requests) > 0 && !h.awaitingReply() {
		h.pendingSince.Store(&now)
	}
	return requests
}

// awaitingReply reports whether a grant request was sent after the owner's last heartbeat.
func (h *Holder) awaitingReply() bool {
	pendingSince, lastHeartbeat := h.pendingSince.Load(), h.lastHeartbeat.Load()
	return pendingSince != nil && (lastHeartbeat == nil || pendingSince.After(*lastHeartbeat))
}

// Accept adds a grant and reports whether it added tokens. A grant that matches no open grant request is ignored,
// including a duplicate answer to the same request.
func (h *Holder) Accept(now time.Time, g Grant) bool {
	// An owner in its hold-off answers with neither tokens nor RetryAfter. Such an answer doesn't count as a heartbeat.
	if g.Tokens > 0 || g.RetryAfter > 0 {
		h.RecordHeartbeat(now)
	}
	a := h.shard(g.Workspace).find(g.Workspace)
	if a == nil {
		return false
	}
	return a.accept(now, g, h)
}

// RetryAfter returns the RetryAfter of the workspace's last denied grant request, or 0 if tokens were granted since.
func (h *Holder) RetryAfter(workspace string) time.Duration {
	if a := h.shard(workspace).find(workspace); a != nil {
		return a.retryAfterHint()
	}
	return 0
}

// CollectReturns ends and returns the grants that are spent, expired, about to expire or idle. Send the returns with
// each batch of grant requests: until the owner receives them, it counts spent tokens as outstanding, which reduces the
// available burst. The owner ignores duplicate returns.
func (h *Holder) CollectReturns(now time.Time) []Return {
	var returns []Return
	for i := range h.shards {
		s := &h.shards[i]
		for _, a := range s.accounts() {
			returns = a.collectReturns(now, h.idleAfter, h.requestTimeout, returns)
		}
		s.removeInactive(now)
	}
	return returns
}

// CollectFallbackSpending returns the spending without the owner that it has not been told of. Send it with each batch of
// grant requests.
func (h *Holder) CollectFallbackSpending(now time.Time) []FallbackSpending {
	if !h.unreportedFallback.Swap(false) {
		return nil
	}
	var spending []FallbackSpending
	for i := range h.shards {
		for _, a := range h.shards[i].accounts() {
			spending = a.collectFallbackSpending(now, spending)
		}
	}
	return spending
}

// ReturnAll ends and returns all grants when the daemon stops.
func (h *Holder) ReturnAll() []Return {
	var returns []Return
	for i := range h.shards {
		for _, a := range h.shards[i].accounts() {
			returns = a.returnAll(returns)
		}
	}
	return returns
}

// Disconnect records the loss of the connection to the owner and removes all open grant requests, since their answers
// are lost with it.
func (h *Holder) Disconnect(now time.Time) {
	// The silence counts from the first loss of the connection since the last heartbeat.
	if previous, heartbeat := h.disconnectedAt.Load(), h.lastHeartbeat.Load(); previous == nil || heartbeat != nil && !previous.After(*heartbeat) {
		h.disconnectedAt.Store(&now)
	}
	for i := range h.shards {
		for _, a := range h.shards[i].accounts() {
			a.disconnect(now, h)
		}
	}
}

func (h *Holder) shard(workspace string) *shard {
	return &h.shards[xxhash.Sum64String(workspace)%holderShards]
}

package limit

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	poolTick              = 100 * time.Microsecond // resolution of the expiry in a tokenPool
	rateTimeConstant      = 200 * time.Millisecond
	rateUpdateInterval    = 10 * time.Millisecond
	prefetchPause         = 25 * time.Millisecond
	requestPauseMinimum   = 5 * time.Millisecond
	requestPauseMaximum   = 100 * time.Millisecond
	renewalDivisor        = 5 // a grant is renewed in the last 1/renewalDivisor of its lifetime
	maximumOpenRequests   = 4
	cacheLineBytes        = 64
	requestsPerRetryAfter = 4
)

type heldGrant struct {
	id      uint64
	tokens  int64
	renewAt time.Time // when the holder returns the rest and requests new tokens
	expires time.Time
}

type openRequest struct {
	id     uint64
	sentAt time.Time
}

// account holds the grants of one workspace. The tokens of the first grant are in the pool, where spending takes no
// lock. The fields below mu are protected by it.
type account struct {
	pool       tokenPool
	_          [cacheLineBytes - 8]byte
	workspace  string
	tickOrigin time.Time
	waiting    atomic.Int64
	active     atomic.Bool

	mu             sync.Mutex
	grants         []heldGrant // in order of expiry
	pooled         int64       // tokens put into the pool by the last fillPool
	pendingReturns []Return
	openRequests   []openRequest
	rate           float64 // tokens per second
	spent          int64   // tokens spent since rateUpdatedAt
	rateUpdatedAt  time.Time
	lastUsedAt     time.Time
	requestAfter   time.Time
	prefetchAfter  time.Time
	retryAfter     time.Duration
	fallback       fallbackBucket
}

func newAccount(now time.Time, workspace string) *account {
	return &account{workspace: workspace, tickOrigin: now, rateUpdatedAt: now, lastUsedAt: now, fallback: newFallbackBucket()}
}

func (a *account) spend(now time.Time, tokens int64) bool {
	if tokens <= 0 {
		return true
	}
	if a.pool.spend(a.tick(now), tokens) == poolSpent {
		return true
	}
	return a.spendLocked(now, tokens)
}

func (a *account) spendLocked(now time.Time, tokens int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reclaim(now)
	defer a.fillPool()
	if a.heldTokens() < tokens {
		return false
	}
	a.spent += tokens
	a.lastUsedAt = now
	for i := range a.grants {
		taken := min(tokens, a.grants[i].tokens)
		a.grants[i].tokens -= taken
		tokens -= taken
	}
	return true
}

// reclaim moves the tokens of the pool back to the first grant and ends spent and expired grants. The caller holds mu.
func (a *account) reclaim(now time.Time) {
	a.drainPool(now)
	a.endGrants(func(g heldGrant) bool { return g.tokens == 0 || !now.Before(g.expires) })
}

func (a *account) drainPool(now time.Time) {
	if a.pooled == 0 {
		return
	}
	left := a.pool.empty()
	if left < a.pooled {
		a.lastUsedAt = now
	}
	a.spent += a.pooled - left
	a.pooled = 0
	a.grants[0].tokens = left
}

// fillPool puts the tokens of the first grant into the pool.
func (a *account) fillPool() {
	if len(a.grants) == 0 || a.grants[0].tokens == 0 {
		return
	}
	first := a.grants[0]
	a.pooled = first.tokens
	a.pool.fill(a.tick(first.expires), first.tokens)
}

func (a *account) endGrants(ended func(heldGrant) bool) {
	kept := a.grants[:0]
	for _, g := range a.grants {
		if ended(g) {
			a.pendingReturns = append(a.pendingReturns, Return{GrantID: g.id, Workspace: a.workspace, Tokens: g.tokens})
			continue
		}
		kept = append(kept, g)
	}
	a.grants = kept
}

func (a *account) heldTokens() int64 {
	var sum int64
	for _, g := range a.grants {
		sum += g.tokens
	}
	return sum
}

func (a *account) grantRequest(now time.Time, h *Holder) (GrantRequest, bool) {
	if !a.active.Load() {
		return GrantRequest{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reclaim(now)
	defer a.fillPool()
	a.updateRate(now)
	tokens, waiting := a.wantedTokens(now, h.prefetch)
	if tokens == 0 || a.requestPending(now, h.requestTimeout) {
		return GrantRequest{}, false
	}
	request := GrantRequest{ID: h.lastRequestID.Add(1), Workspace: a.workspace, Tokens: tokens, Waiting: waiting}
	if len(a.openRequests) == maximumOpenRequests {
		a.openRequests = append(a.openRequests[:0], a.openRequests[1:]...)
	}
	a.openRequests = append(a.openRequests, openRequest{request.ID, now})
	return request, true
}

// updateRate updates the moving average of the spending rate at this holder.
func (a *account) updateRate(now time.Time) {
	elapsed := now.Sub(a.rateUpdatedAt)
	if elapsed < rateUpdateInterval {
		return
	}
	observed := float64(a.spent) / elapsed.Seconds()
	weight := float64(elapsed) / float64(elapsed+rateTimeConstant)
	a.rate += weight * (observed - a.rate)
	a.fallback.updateRate(elapsed, observed)
	a.spent = 0
	a.rateUpdatedAt = now
}

// wantedTokens returns the number of tokens to request and how many of them are for waiting requests.
func (a *account) wantedTokens(now time.Time, prefetch time.Duration) (tokens, waiting int64) {
	held := a.heldTokens()
	ahead := int64(a.rate * prefetch.Seconds())
	needed := a.waiting.Load() - held
	if needed > 0 {
		if now.Before(a.requestAfter) {
			return 0, 0
		}
		return min(needed+ahead, maximumPoolTokens), min(needed, maximumPoolTokens)
	}
	if held >= (ahead+1)/2 || now.Before(a.prefetchAfter) {
		return 0, 0
	}
	return min(ahead-held, maximumPoolTokens), 0
}

func (a *account) requestPending(now time.Time, timeout time.Duration) bool {
	if len(a.openRequests) == 0 {
		return false
	}
	return now.Sub(a.openRequests[len(a.openRequests)-1].sentAt) < timeout
}

func (a *account) accept(now time.Time, g Grant, h *Holder) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	sentAt, known := a.takeOpenRequest(g.ID)
	if !known {
		return false
	}
	if g.FallbackShare > 0 {
		a.fallback.share = min(g.FallbackShare, 1)
	}
	if g.Tokens <= 0 {
		a.denied(now, g.RetryAfter)
		return false
	}
	a.retryAfter = 0
	a.requestAfter = now
	a.reclaim(now)
	defer a.fillPool()
	lifetime := time.Duration(float64(g.Duration) * (1 - h.margin))
	expires := sentAt.Add(lifetime)
	if !now.Before(expires) {
		a.pendingReturns = append(a.pendingReturns, Return{GrantID: g.ID, Workspace: a.workspace, Tokens: g.Tokens})
		return false
	}
	a.insert(heldGrant{
		id:      g.ID,
		tokens:  min(g.Tokens, maximumPoolTokens),
		renewAt: expires.Add(-lifetime / renewalDivisor),
		expires: expires,
	})
	a.active.Store(true)
	a.lastUsedAt = now
	return true
}

func (a *account) takeOpenRequest(id uint64) (time.Time, bool) {
	for i, open := range a.openRequests {
		if open.id == id {
			a.openRequests = append(a.openRequests[:i], a.openRequests[i+1:]...)
			return open.sentAt, true
		}
	}
	return time.Time{}, false
}

func (a *account) denied(now time.Time, retryAfter time.Duration) {
	if retryAfter <= 0 {
		a.prefetchAfter = now.Add(prefetchPause)
		return
	}
	a.retryAfter = retryAfter
	a.requestAfter = now.Add(min(max(retryAfter/requestsPerRetryAfter, requestPauseMinimum), requestPauseMaximum))
}

func (a *account) insert(g heldGrant) {
	at := len(a.grants)
	for at > 0 && a.grants[at-1].expires.After(g.expires) {
		at--
	}
	a.grants = append(a.grants, heldGrant{})
	copy(a.grants[at+1:], a.grants[at:])
	a.grants[at] = g
}

func (a *account) retryAfterHint() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retryAfter
}

func (a *account) collectReturns(now time.Time, idleAfter, requestTimeout time.Duration, returns []Return) []Return {
	if !a.active.Load() {
		return returns
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reclaim(now)
	defer a.fillPool()
	unused := a.waiting.Load() == 0 && now.Sub(a.lastUsedAt) >= idleAfter
	a.endGrants(func(g heldGrant) bool { return unused || !now.Before(g.renewAt) })
	returns = append(returns, a.pendingReturns...)
	a.pendingReturns = nil
	a.expireRequests(now, requestTimeout)
	if unused && len(a.openRequests) == 0 {
		a.deactivate()
	}
	return returns
}

// expireRequests removes grant requests that were not answered within timeout. A later answer is ignored.
func (a *account) expireRequests(now time.Time, timeout time.Duration) {
	for len(a.openRequests) > 0 && now.Sub(a.openRequests[0].sentAt) >= timeout {
		a.openRequests = append(a.openRequests[:0], a.openRequests[1:]...)
	}
}

func (a *account) deactivate() {
	a.active.Store(false)
	a.rate = 0
	a.retryAfter = 0
	if a.waiting.Load() > 0 {
		a.active.Store(true)
	}
}

func (a *account) collectFallbackSpending(now time.Time, spending []FallbackSpending) []FallbackSpending {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := &a.fallback
	if b.total == b.reportedTotal {
		return spending
	}
	b.reportedTotal = b.total
	return append(spending, FallbackSpending{Workspace: a.workspace, Total: b.total, Recent: b.recent, Period: now.Sub(b.silentSince)})
}

func (a *account) returnAll(returns []Return) []Return {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drainPool(a.lastUsedAt)
	a.endGrants(func(heldGrant) bool { return true })
	returns = append(returns, a.pendingReturns...)
	a.pendingReturns = nil
	return returns
}

// disconnect removes the open requests, whose answers are lost. What the owner was lately told of fallback spending may
// be lost as well and is told again.
func (a *account) disconnect(now time.Time, h *Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.openRequests = a.openRequests[:0]
	a.requestAfter = time.Time{}
	if a.fallback.recent > 0 && now.Sub(a.fallback.silentSince) < h.maximumFallback {
		a.fallback.reportedTotal = 0
		h.unreportedFallback.Store(true)
	}
}

func (a *account) removable(now time.Time) bool {
	if a.active.Load() || a.waiting.Load() > 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.grants) == 0 && len(a.pendingReturns) == 0 && now.Sub(a.lastUsedAt) >= accountRetention
}

func (a *account) tick(now time.Time) uint64 {
	return uint64(max(0, now.Sub(a.tickOrigin)) / poolTick)
}

package limit

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	potTick           = 100 * time.Microsecond
	rateTimeConstant  = 200 * time.Millisecond
	rateMinimumStep   = 10 * time.Millisecond
	prefetchPause     = 25 * time.Millisecond
	askPauseMinimum   = 5 * time.Millisecond
	askPauseMaximum   = 100 * time.Millisecond
	renewShareOfLife  = 5
	maximumOpenAsks   = 4
	cacheLineBytes    = 64
	askPausesPerRetry = 4
)

type heldGrant struct {
	id      uint64
	tokens  int64
	renewAt time.Time
	expires time.Time
}

type openAsk struct {
	id     uint64
	sentAt time.Time
}

// account holds the grants of one workspace. The tokens of the first grant are in the pot, where spending takes
// no lock; all else is under the lock.
type account struct {
	pot       pot
	_         [cacheLineBytes - 8]byte
	workspace string
	base      time.Time
	waiting   atomic.Int64
	awake     atomic.Bool

	mu            sync.Mutex
	grants        []heldGrant // in the order of expiry
	installed     int64
	ended         []Return
	asks          []openAsk
	rate          float64
	spent         int64
	observedAt    time.Time
	usedAt        time.Time
	askAfter      time.Time
	prefetchAfter time.Time
	retryAfter    time.Duration
	coasting      coasting
}

func newAccount(now time.Time, workspace string) *account {
	return &account{workspace: workspace, base: now, observedAt: now, usedAt: now}
}

func (a *account) spend(now time.Time, tokens int64) bool {
	if tokens <= 0 {
		return true
	}
	if a.pot.spend(a.tick(now), tokens) == potSpent {
		return true
	}
	return a.spendLocked(now, tokens)
}

func (a *account) spendLocked(now time.Time, tokens int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open(now)
	defer a.install()
	if a.tokens() < tokens {
		return false
	}
	a.spent += tokens
	a.usedAt = now
	for i := range a.grants {
		taken := min(tokens, a.grants[i].tokens)
		a.grants[i].tokens -= taken
		tokens -= taken
	}
	return true
}

// open takes the pot's tokens back under the lock and ends the grants that are spent or ran out.
func (a *account) open(now time.Time) {
	a.park(now)
	a.end(func(g heldGrant) bool { return g.tokens == 0 || !now.Before(g.expires) })
}

func (a *account) park(now time.Time) {
	if a.installed == 0 {
		return
	}
	left := a.pot.empty()
	if left < a.installed {
		a.usedAt = now
	}
	a.spent += a.installed - left
	a.installed = 0
	a.grants[0].tokens = left
}

// install puts the first grant's tokens into the pot.
func (a *account) install() {
	if len(a.grants) == 0 || a.grants[0].tokens == 0 {
		return
	}
	first := a.grants[0]
	a.installed = first.tokens
	a.pot.fill(a.tick(first.expires), first.tokens)
}

func (a *account) end(ends func(heldGrant) bool) {
	kept := a.grants[:0]
	for _, g := range a.grants {
		if ends(g) {
			a.ended = append(a.ended, Return{GrantID: g.id, Workspace: a.workspace, Tokens: g.tokens})
			continue
		}
		kept = append(kept, g)
	}
	a.grants = kept
}

func (a *account) tokens() int64 {
	var sum int64
	for _, g := range a.grants {
		sum += g.tokens
	}
	return sum
}

func (a *account) ask(now time.Time, h *Holder) (Ask, bool) {
	if !a.awake.Load() {
		return Ask{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open(now)
	defer a.install()
	a.observe(now)
	tokens, waiting := a.wish(now, h.prefetch)
	if tokens == 0 || a.asking(now, h.askTimeout) {
		return Ask{}, false
	}
	ask := Ask{ID: h.lastAsk.Add(1), Workspace: a.workspace, Tokens: tokens, Waiting: waiting}
	if len(a.asks) == maximumOpenAsks {
		a.asks = append(a.asks[:0], a.asks[1:]...)
	}
	a.asks = append(a.asks, openAsk{ask.ID, now})
	return ask, true
}

// observe follows the rate at which tokens are spent here.
func (a *account) observe(now time.Time) {
	elapsed := now.Sub(a.observedAt)
	if elapsed < rateMinimumStep {
		return
	}
	observed := float64(a.spent) / elapsed.Seconds()
	weight := float64(elapsed) / float64(elapsed+rateTimeConstant)
	a.rate += weight * (observed - a.rate)
	a.coasting.observe(elapsed, observed)
	a.spent = 0
	a.observedAt = now
}

// wish returns the tokens to ask for and how many of them are for waiting requests.
func (a *account) wish(now time.Time, prefetch time.Duration) (tokens, waiting int64) {
	held := a.tokens()
	ahead := int64(a.rate * prefetch.Seconds())
	needed := a.waiting.Load() - held
	if needed > 0 {
		if now.Before(a.askAfter) {
			return 0, 0
		}
		return min(needed+ahead, maximumPot), min(needed, maximumPot)
	}
	if held >= (ahead+1)/2 || now.Before(a.prefetchAfter) {
		return 0, 0
	}
	return min(ahead-held, maximumPot), 0
}

func (a *account) asking(now time.Time, timeout time.Duration) bool {
	if len(a.asks) == 0 {
		return false
	}
	return now.Sub(a.asks[len(a.asks)-1].sentAt) < timeout
}

func (a *account) accept(now time.Time, g Grant, h *Holder) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	sentAt, known := a.answered(g.ID)
	if !known {
		return false
	}
	if g.Tokens <= 0 {
		a.refused(now, g.RetryAfter)
		return false
	}
	a.retryAfter = 0
	a.askAfter = now
	a.open(now)
	defer a.install()
	life := time.Duration(float64(g.Duration) * (1 - h.margin))
	expires := sentAt.Add(life)
	if !now.Before(expires) {
		a.ended = append(a.ended, Return{GrantID: g.ID, Workspace: a.workspace, Tokens: g.Tokens})
		return false
	}
	a.insert(heldGrant{
		id:      g.ID,
		tokens:  min(g.Tokens, maximumPot),
		renewAt: expires.Add(-life / renewShareOfLife),
		expires: expires,
	})
	a.awake.Store(true)
	a.usedAt = now
	return true
}

func (a *account) answered(id uint64) (time.Time, bool) {
	for i, open := range a.asks {
		if open.id == id {
			a.asks = append(a.asks[:i], a.asks[i+1:]...)
			return open.sentAt, true
		}
	}
	return time.Time{}, false
}

func (a *account) refused(now time.Time, retryAfter time.Duration) {
	if retryAfter <= 0 {
		a.prefetchAfter = now.Add(prefetchPause)
		return
	}
	a.retryAfter = retryAfter
	a.askAfter = now.Add(min(max(retryAfter/askPausesPerRetry, askPauseMinimum), askPauseMaximum))
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

func (a *account) hint() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retryAfter
}

func (a *account) idle(now time.Time, idleAfter, askTimeout time.Duration, returns []Return) []Return {
	if !a.awake.Load() {
		return returns
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open(now)
	defer a.install()
	unused := a.waiting.Load() == 0 && now.Sub(a.usedAt) >= idleAfter
	a.end(func(g heldGrant) bool { return unused || !now.Before(g.renewAt) })
	returns = append(returns, a.ended...)
	a.ended = nil
	a.giveUpAsks(now, askTimeout)
	if unused && len(a.asks) == 0 {
		a.sleep()
	}
	return returns
}

// giveUpAsks forgets asks that were not answered in time; a later answer is ignored.
func (a *account) giveUpAsks(now time.Time, timeout time.Duration) {
	for len(a.asks) > 0 && now.Sub(a.asks[0].sentAt) >= timeout {
		a.asks = append(a.asks[:0], a.asks[1:]...)
	}
}

func (a *account) sleep() {
	a.awake.Store(false)
	a.rate = 0
	a.retryAfter = 0
	if a.waiting.Load() > 0 {
		a.awake.Store(true)
	}
}

func (a *account) drop(returns []Return) []Return {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.park(a.usedAt)
	a.end(func(heldGrant) bool { return true })
	returns = append(returns, a.ended...)
	a.ended = nil
	return returns
}

func (a *account) disconnect() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asks = a.asks[:0]
	a.askAfter = time.Time{}
}

func (a *account) forgettable(now time.Time) bool {
	if a.awake.Load() || a.waiting.Load() > 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.grants) == 0 && len(a.ended) == 0 && now.Sub(a.usedAt) >= forgetAfter
}

func (a *account) tick(now time.Time) uint64 {
	return uint64(max(0, now.Sub(a.base)) / potTick)
}

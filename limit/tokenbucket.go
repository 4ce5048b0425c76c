package limit

import (
	"maps"
	"time"
)

const (
	nanotokensPerToken         = 1_000_000_000
	maximumBurst               = int64(1) << 32
	minimumShare               = 4 // tokens
	minimumRetryAfter          = time.Millisecond
	maximumRetryAfter          = time.Minute
	unknownWorkspaceRetryAfter = time.Second // a daemon may receive a new workspace before the owner does
	holderActiveTimeout        = time.Second
	holderRetention            = 10 * time.Second
	// maximumDebt limits what a bucket owes for spending without grants, as time of its rate beside its burst.
	maximumDebt = 2 * time.Second
)

type grantKey struct {
	holder string
	id     uint64
}

type issuedGrant struct {
	key     grantKey
	tokens  int64
	expires time.Time
}

type queuedRequest struct {
	holder     string
	request    GrantRequest
	receivedAt time.Time
	queuedAt   time.Time
}

func newQueuedRequest(now time.Time, holder string, request GrantRequest) queuedRequest {
	return queuedRequest{holder: holder, request: request, receivedAt: now, queuedAt: now}
}

type holderRecord struct {
	lastAnswered  uint64
	lastRequestAt time.Time
}

// reportedFallback is the last spending without the owner that a holder told of.
type reportedFallback struct {
	total int64
	at    time.Time
}

// tokenBucket is the bucket of one workspace with its open grants and queued grant requests. The invariant is level +
// outstanding <= burst. After the burst is lowered, it holds again once the grants of the old burst have expired.
type tokenBucket struct {
	workspace        string
	bucket           Bucket
	margin           float64
	level            int64 // nanotokens; below zero after spending without grants
	outstanding      int64
	refilledAt       time.Time
	grantsByExpiry   []issuedGrant // in order of expiry; closed grants stay until they expire
	openGrants       map[grantKey]int64
	holders          map[string]holderRecord
	recent           recentUse
	fallbackTotals   map[string]reportedFallback // by holder
	activeHolders    int
	holdersCountedAt time.Time
	queue            []queuedRequest
	removed          bool
}

func newTokenBucket(named NamedBucket, margin float64, now, holdOffUntil time.Time) *tokenBucket {
	tb := &tokenBucket{
		workspace:  named.Workspace,
		bucket:     named.Bucket.clamped(),
		margin:     margin,
		refilledAt: holdOffUntil,
		openGrants: make(map[grantKey]int64),
		holders:    make(map[string]holderRecord),

		fallbackTotals: make(map[string]reportedFallback),
	}
	if now.After(holdOffUntil) {
		tb.refilledAt = now
		tb.level = tb.capacity()
	}
	return tb
}

// advance expires grants and refills the level up to now, in chronological order.
func (tb *tokenBucket) advance(now time.Time) {
	expired := 0
	for expired < len(tb.grantsByExpiry) && !tb.grantsByExpiry[expired].expires.After(now) {
		g := tb.grantsByExpiry[expired]
		tb.refill(g.expires)
		tb.expireGrant(g.key)
		expired++
	}
	tb.grantsByExpiry = tb.grantsByExpiry[expired:]
	tb.refill(now)
	if now.Sub(tb.holdersCountedAt) >= holderActiveTimeout {
		tb.countActiveHolders(now)
	}
}

func (tb *tokenBucket) refill(now time.Time) {
	elapsed := now.Sub(tb.refilledAt)
	if elapsed <= 0 {
		return
	}
	tb.refilledAt = now
	missing := tb.capacity() - tb.level
	added := tb.bucket.Rate * (1 - tb.margin) * float64(elapsed)
	if added >= float64(missing) {
		tb.level += max(missing, 0)
		return
	}
	tb.level += int64(added)
}

func (tb *tokenBucket) capacity() int64 {
	return (tb.bucket.Burst - tb.outstanding) * nanotokensPerToken
}

func (tb *tokenBucket) wholeTokens() int64 {
	return tb.level / nanotokensPerToken
}

// setBucket replaces the limits and lowers the level to the new burst if it exceeds that.
func (tb *tokenBucket) setBucket(b Bucket) {
	tb.bucket = b.clamped()
	tb.removed = false
	tb.level = min(tb.level, max(0, tb.capacity()))
}

func (tb *tokenBucket) addGrant(now time.Time, key grantKey, tokens int64, expires time.Time) {
	tb.recent.add(now, tokens)
	tb.level -= tokens * nanotokensPerToken
	tb.outstanding += tokens
	tb.openGrants[key] = tokens
	tb.grantsByExpiry = append(tb.grantsByExpiry, issuedGrant{key, tokens, expires})
}

// expireGrant ends an open grant that was not returned. Its tokens count as spent.
func (tb *tokenBucket) expireGrant(key grantKey) {
	tokens, open := tb.openGrants[key]
	if !open {
		return
	}
	delete(tb.openGrants, key)
	tb.outstanding -= tokens
}

// returnGrant ends an open grant and adds its unspent tokens to the level.
func (tb *tokenBucket) returnGrant(now time.Time, key grantKey, unspent int64) {
	tokens, open := tb.openGrants[key]
	if !open {
		return
	}
	tb.expireGrant(key)
	unspent = max(0, min(unspent, tokens))
	tb.recent.add(now, -unspent)
	tb.level = min(tb.level+unspent*nanotokensPerToken, max(0, tb.capacity()))
}

// charge lowers the level, also below zero. A debt is limited to what may be spent without the owner at most, so that
// a wrong message can't deny tokens for long.
func (tb *tokenBucket) charge(tokens int64) {
	lowest := -int64(min(float64(tb.bucket.Burst)+maximumDebt.Seconds()*tb.bucket.Rate, float64(maximumBurst)))
	tokens = min(max(tokens, 0), maximumBurst)
	tb.level = min(tb.level, max(tb.level-tokens*nanotokensPerToken, lowest*nanotokensPerToken))
}

// recordRequest records the time of a holder's grant request and reports whether the request is new. A request that was
// already answered is a duplicate.
func (tb *tokenBucket) recordRequest(now time.Time, holder string, id uint64) bool {
	record, known := tb.holders[holder]
	if known && id <= record.lastAnswered {
		return false
	}
	if _, open := tb.openGrants[grantKey{holder, id}]; open {
		return false
	}
	if !known {
		tb.activeHolders++
	}
	record.lastRequestAt = now
	tb.holders[holder] = record
	return true
}

func (tb *tokenBucket) recordAnswer(holder string, id uint64) {
	record := tb.holders[holder]
	record.lastAnswered = id
	tb.holders[holder] = record
}

func (tb *tokenBucket) countActiveHolders(now time.Time) {
	tb.holdersCountedAt = now
	tb.activeHolders = 0
	for holder, record := range tb.holders {
		age := now.Sub(record.lastRequestAt)
		if age < holderActiveTimeout {
			tb.activeHolders++
		}
		if age >= holderRetention {
			delete(tb.holders, holder)
		}
	}
	maps.DeleteFunc(tb.fallbackTotals, func(_ string, reported reportedFallback) bool { return now.Sub(reported.at) >= holderRetention })
}

// fallbackShare returns the share of its recent rate at which a holder may spend while the owner is silent.
func (tb *tokenBucket) fallbackShare(now time.Time) float64 {
	return tb.recent.shareWithin(now, tb.bucket.Rate)
}

// grantSize returns the number of tokens for the first queued grant request: a fair share for its waiting requests and,
// if no other request is queued, a share of the rest for its prefetch.
func (tb *tokenBucket) grantSize(request GrantRequest) int64 {
	fair := max(minimumShare, tb.wholeTokens()/int64(max(1, len(tb.queue))))
	needed := min(request.Waiting, fair, tb.wholeTokens())
	if len(tb.queue) > 1 {
		return needed
	}
	return needed + tb.prefetchShare(request.Tokens-request.Waiting, tb.wholeTokens()-needed)
}

// prefetchGrantSize returns the number of tokens for a grant request without waiting requests.
func (tb *tokenBucket) prefetchGrantSize(request GrantRequest) int64 {
	if len(tb.queue) > 0 {
		return 0
	}
	return tb.prefetchShare(request.Tokens, tb.wholeTokens())
}

func (tb *tokenBucket) prefetchShare(wanted, available int64) int64 {
	return max(0, min(wanted, available/int64(tb.activeHolders+1)))
}

func (tb *tokenBucket) timeUntil(tokens int64) time.Duration {
	missing := float64(tokens*nanotokensPerToken - tb.level)
	if missing <= 0 {
		return 0
	}
	rate := tb.bucket.Rate * (1 - tb.margin)
	if rate <= 0 || missing/rate >= float64(maximumRetryAfter) {
		return maximumRetryAfter
	}
	return time.Duration(missing/rate) + 1
}

// replaceQueued replaces the queued request of a holder with a newer one. It reports whether the holder had one queued.
func (tb *tokenBucket) replaceQueued(now time.Time, holder string, request GrantRequest) bool {
	for i := range tb.queue {
		if tb.queue[i].holder != holder {
			continue
		}
		if request.ID > tb.queue[i].request.ID {
			tb.queue[i].request = request
			tb.queue[i].receivedAt = now
		}
		return true
	}
	return false
}

func (tb *tokenBucket) dequeue() {
	tb.queue[0] = queuedRequest{}
	tb.queue = tb.queue[1:]
}

func (tb *tokenBucket) removeQueued(holder string) {
	kept := tb.queue[:0]
	for _, queued := range tb.queue {
		if queued.holder != holder {
			kept = append(kept, queued)
		}
	}
	tb.queue = kept
}

func (b Bucket) clamped() Bucket {
	b.Rate = max(0, b.Rate)
	b.Burst = max(0, min(b.Burst, maximumBurst))
	return b
}

func (a GrantRequest) clamped(burst int64) GrantRequest {
	a.Tokens = max(0, min(a.Tokens, burst))
	a.Waiting = max(0, min(a.Waiting, a.Tokens))
	return a
}

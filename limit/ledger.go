package limit

import "time"

const (
	nanotokens         = 1_000_000_000
	maximumBurst       = int64(1) << 32
	smallestPortion    = 4 // tokens
	minimumRetryAfter  = time.Millisecond
	maximumRetryAfter  = time.Minute
	unknownRetryAfter  = time.Second // the owner may learn of a workspace later than a daemon
	holderActiveFor    = time.Second
	holderRememberedBy = 10 * time.Second
)

type grantKey struct {
	holder string
	id     uint64
}

type openGrant struct {
	key     grantKey
	tokens  int64
	expires time.Time
}

type heldAsk struct {
	holder     string
	ask        Ask
	receivedAt time.Time
	heldSince  time.Time
}

func newHeldAsk(now time.Time, holder string, ask Ask) heldAsk {
	return heldAsk{holder: holder, ask: ask, receivedAt: now, heldSince: now}
}

type holderRecord struct {
	lastAnswered uint64
	askedAt      time.Time
}

// ledger is the bucket of one workspace with its open grants and held asks. At all times
// level + outstanding <= burst, but for the time in which grants of a larger former burst run out.
type ledger struct {
	workspace   string
	bucket      Bucket
	margin      float64
	level       int64 // nanotokens
	outstanding int64
	settledAt   time.Time
	grants      []openGrant // in the order of expiry; closed ones stay until they expire
	open        map[grantKey]int64
	holders     map[string]holderRecord
	active      int
	countedAt   time.Time
	held        []heldAsk
	removed     bool
}

func newLedger(named NamedBucket, margin float64, now, opensAt time.Time) *ledger {
	l := &ledger{
		workspace: named.Workspace,
		bucket:    named.Bucket.bounded(),
		margin:    margin,
		settledAt: opensAt,
		open:      make(map[grantKey]int64),
		holders:   make(map[string]holderRecord),
	}
	if now.After(opensAt) {
		l.settledAt = now
		l.level = l.capacity()
	}
	return l
}

// settle lets grants run out and refills the level, in the order of time.
func (l *ledger) settle(now time.Time) {
	expired := 0
	for expired < len(l.grants) && !l.grants[expired].expires.After(now) {
		g := l.grants[expired]
		l.refill(g.expires)
		l.close(g.key, 0)
		expired++
	}
	l.grants = l.grants[expired:]
	l.refill(now)
	if now.Sub(l.countedAt) >= holderActiveFor {
		l.countHolders(now)
	}
}

func (l *ledger) refill(now time.Time) {
	elapsed := now.Sub(l.settledAt)
	if elapsed <= 0 {
		return
	}
	l.settledAt = now
	room := l.capacity() - l.level
	added := l.bucket.Rate * (1 - l.margin) * float64(elapsed)
	if added >= float64(room) {
		l.level += max(room, 0)
		return
	}
	l.level += int64(added)
}

func (l *ledger) capacity() int64 {
	return (l.bucket.Burst - l.outstanding) * nanotokens
}

func (l *ledger) whole() int64 {
	return l.level / nanotokens
}

// change keeps the level as far as the new burst allows.
func (l *ledger) change(b Bucket) {
	l.bucket = b.bounded()
	l.removed = false
	l.level = max(0, min(l.level, l.capacity()))
}

func (l *ledger) take(key grantKey, tokens int64, expires time.Time) {
	l.level -= tokens * nanotokens
	l.outstanding += tokens
	l.open[key] = tokens
	l.grants = append(l.grants, openGrant{key, tokens, expires})
}

// close ends a grant and puts its unspent tokens back to the level.
func (l *ledger) close(key grantKey, unspent int64) {
	tokens, open := l.open[key]
	if !open {
		return
	}
	delete(l.open, key)
	l.outstanding -= tokens
	unspent = max(0, min(unspent, tokens))
	l.level = max(0, min(l.level+unspent*nanotokens, l.capacity()))
}

// admit notes that a holder asks, and tells whether the ask is a new one.
func (l *ledger) admit(now time.Time, holder string, id uint64) bool {
	record, known := l.holders[holder]
	if known && id <= record.lastAnswered {
		return false
	}
	if _, open := l.open[grantKey{holder, id}]; open {
		return false
	}
	if !known {
		l.active++
	}
	record.askedAt = now
	l.holders[holder] = record
	return true
}

func (l *ledger) answered(holder string, id uint64) {
	record := l.holders[holder]
	record.lastAnswered = id
	l.holders[holder] = record
}

func (l *ledger) countHolders(now time.Time) {
	l.countedAt = now
	l.active = 0
	for holder, record := range l.holders {
		age := now.Sub(record.askedAt)
		if age < holderActiveFor {
			l.active++
		}
		if age >= holderRememberedBy {
			delete(l.holders, holder)
		}
	}
}

// portion is what the first of the held asks gets: a fair part for its waiting requests, and of what is over a
// part for its prefetch.
func (l *ledger) portion(ask Ask) int64 {
	fair := max(smallestPortion, l.whole()/int64(max(1, len(l.held))))
	needed := min(ask.Waiting, fair, l.whole())
	if len(l.held) > 1 {
		return needed
	}
	return needed + l.prefetch(ask.Tokens-ask.Waiting, l.whole()-needed)
}

// spare is what an ask gets for which no request waits.
func (l *ledger) spare(ask Ask) int64 {
	if len(l.held) > 0 {
		return 0
	}
	return l.prefetch(ask.Tokens, l.whole())
}

func (l *ledger) prefetch(wished, free int64) int64 {
	return max(0, min(wished, free/int64(l.active+1)))
}

func (l *ledger) timeTo(tokens int64) time.Duration {
	missing := float64(tokens*nanotokens - l.level)
	if missing <= 0 {
		return 0
	}
	rate := l.bucket.Rate * (1 - l.margin)
	if rate <= 0 || missing/rate >= float64(maximumRetryAfter) {
		return maximumRetryAfter
	}
	return time.Duration(missing/rate) + 1
}

// replaceHeld puts a newer ask of the same holder in the place of its held one.
func (l *ledger) replaceHeld(now time.Time, holder string, ask Ask) bool {
	for i := range l.held {
		if l.held[i].holder != holder {
			continue
		}
		if ask.ID > l.held[i].ask.ID {
			l.held[i].ask = ask
			l.held[i].receivedAt = now
		}
		return true
	}
	return false
}

func (l *ledger) popHeld() {
	l.held[0] = heldAsk{}
	l.held = l.held[1:]
}

func (l *ledger) dropHeld(holder string) {
	still := l.held[:0]
	for _, h := range l.held {
		if h.holder != holder {
			still = append(still, h)
		}
	}
	l.held = still
}

func (b Bucket) bounded() Bucket {
	b.Rate = max(0, b.Rate)
	b.Burst = max(0, min(b.Burst, maximumBurst))
	return b
}

func (a Ask) bounded(burst int64) Ask {
	a.Tokens = max(0, min(a.Tokens, burst))
	a.Waiting = max(0, min(a.Waiting, a.Tokens))
	return a
}

package claim

import (
	"container/heap"
	"time"
)

// A Book is the replicated state of all claims. It is deterministic and used by one goroutine; all times are of
// the leader's log, which never decreases.
type Book struct {
	retention            time.Duration
	margin               time.Duration
	runLimit             time.Duration
	maximumKeys          int
	maximumWorkspaceKeys int
	maximumUntimedKeys   int
	maximumOutcomeBytes  int64

	at           time.Time
	doubt        doubt
	sequence     uint64
	entries      map[Key]*entry
	order        []*entry
	expiry       expiry
	tenancies    map[string]*tenancy
	outcomeBytes int64
}

// NewBook returns a book without claims.
func NewBook(opts ...BookOption) *Book {
	b := &Book{
		retention:            DefaultRetention,
		margin:               DefaultMargin,
		runLimit:             DefaultRunLimit,
		maximumKeys:          DefaultMaximumKeys,
		maximumWorkspaceKeys: DefaultMaximumWorkspaceKeys,
		maximumUntimedKeys:   DefaultMaximumUntimedKeys,
		maximumOutcomeBytes:  DefaultMaximumOutcomeBytes,
		at:                   time.Unix(0, 0),
		entries:              make(map[Key]*entry),
		tenancies:            make(map[string]*tenancy),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Claim tries to win the key for an attempt, whose name is unique among all attempts ever made. The winner's
// repeated claim is won again. An outcome comes with Finished only.
func (b *Book) Claim(at time.Time, k Key, attempt string, requestHash [32]byte) (State, *Outcome) {
	at = b.advance(at)
	if !k.Valid() || !validAttempt(attempt) {
		return Invalid, nil
	}
	e, known := b.entries[k]
	if (!known || e.state == entryReleased) && b.inDoubt(at, k) {
		return Finished, &Outcome{}
	}
	if known {
		return b.claimKnown(at, e, attempt, requestHash)
	}
	e, refused := b.add(at, k)
	if refused != "" {
		return refused, nil
	}
	e.take(at, attempt, requestHash)
	return Won, nil
}

func (b *Book) claimKnown(at time.Time, e *entry, attempt string, hash [32]byte) (State, *Outcome) {
	switch {
	case e.state == entryReleased && e.attempt == attempt:
		return Running, nil
	case e.state == entryReleased:
		e.take(at, attempt, hash)
		return Won, nil
	case e.hash != hash:
		return Reused, nil
	case e.state == entryFinished:
		outcome := e.outcome.copied()
		return Finished, &outcome
	case e.attempt == attempt:
		return Won, nil
	case at.UnixNano()-e.claimedAt > int64(b.runLimit):
		return Finished, &Outcome{}
	default:
		return Running, nil
	}
}

// Release gives up a claim before it ran. It also keeps a claim of the attempt that is still on its way from
// being won. It tells whether the attempt holds no claim now and can't win one.
func (b *Book) Release(at time.Time, k Key, attempt string) bool {
	at = b.advance(at)
	if !k.Valid() || !validAttempt(attempt) {
		return false
	}
	e, known := b.entries[k]
	if !known && b.inDoubt(at, k) {
		return true
	}
	if !known {
		var refused State
		if e, refused = b.add(at, k); refused != "" {
			return refused == Expired
		}
		e.attempt = attempt
		e.state = entryReleased
		return true
	}
	if e.attempt != attempt || e.state == entryFinished {
		return false
	}
	e.state = entryReleased
	return true
}

// Finish stores the outcome of the attempt that ran, and tells whether it is stored. A second outcome of the same
// attempt changes nothing.
func (b *Book) Finish(at time.Time, k Key, attempt string, outcome Outcome) bool {
	b.advance(at)
	e, known := b.entries[k]
	if !known || e.attempt != attempt || e.state == entryReleased {
		return false
	}
	if e.state == entryFinished {
		return true
	}
	b.sequence++
	e.state = entryFinished
	e.outcome = &storedOutcome{Outcome: outcome.bounded(), sequence: b.sequence}
	if e.outcome.BodyKept {
		b.tenancies[k.Workspace].keep(e)
		b.outcomeBytes += e.outcome.bytes()
		b.discardOutcomes()
	}
	return true
}

// Expire drops the claims whose keys are older than the retention, and returns their number.
func (b *Book) Expire(at time.Time) int {
	at = b.advance(at)
	dropped := 0
	for len(b.expiry) > 0 && b.expiry[0].expiresAt <= at.UnixNano() {
		b.drop(heap.Pop(&b.expiry).(*entry))
		dropped++
	}
	b.compact()
	return dropped
}

// Stats returns the sizes of the book.
func (b *Book) Stats() BookStats {
	stats := BookStats{Keys: len(b.entries), UntimedKeys: len(b.entries) - len(b.expiry), OutcomeBytes: b.outcomeBytes}
	for _, t := range b.tenancies {
		stats.LargestWorkspaceKeys = max(stats.LargestWorkspaceKeys, t.keys)
	}
	return stats
}

func (b *Book) advance(at time.Time) time.Time {
	if at.After(b.at) {
		b.at = at
	}
	return b.at
}

func (b *Book) add(at time.Time, k Key) (*entry, State) {
	expiresAt, refused := b.expiryOf(at, k)
	if refused != "" {
		return nil, refused
	}
	t := b.tenancy(k.Workspace)
	if len(b.entries) >= b.maximumKeys || t.keys >= b.maximumWorkspaceKeys {
		return nil, Full
	}
	if expiresAt == 0 && t.untimed >= b.maximumUntimedKeys {
		return nil, Full
	}
	b.sequence++
	k.Workspace = t.name
	e := &entry{key: k, claimedAt: at.UnixNano(), expiresAt: expiresAt, sequence: b.sequence}
	b.insert(e, t)
	return e, ""
}

func (b *Book) expiryOf(at time.Time, k Key) (int64, State) {
	keyTime, timed := k.Time()
	switch {
	case !timed || keyTime.After(at.Add(b.margin)):
		return 0, ""
	case !at.Before(keyTime.Add(b.retention - b.margin)):
		return 0, Expired
	default:
		return keyTime.Add(b.retention).UnixNano(), ""
	}
}

func (b *Book) insert(e *entry, t *tenancy) {
	b.entries[e.key] = e
	b.order = append(b.order, e)
	t.keys++
	if e.timed() {
		heap.Push(&b.expiry, e)
		return
	}
	t.untimed++
}

func (b *Book) drop(e *entry) {
	delete(b.entries, e.key)
	t := b.tenancies[e.key.Workspace]
	t.keys--
	if e.outcome != nil {
		b.outcomeBytes -= t.discard(e)
	}
	e.dropped = true
	if t.keys == 0 {
		delete(b.tenancies, t.name)
	}
}

// compact removes dropped entries from the order once they are the larger part of it.
func (b *Book) compact() {
	if len(b.order) < 2*len(b.entries) {
		return
	}
	b.order = withoutDropped(b.order)
	for _, t := range b.tenancies {
		t.outcomes = withoutDropped(t.outcomes)
	}
}

func withoutDropped(entries []*entry) []*entry {
	var kept []*entry
	for _, e := range entries {
		if !e.dropped {
			kept = append(kept, e)
		}
	}
	return kept
}

// discardOutcomes forgets the oldest outcomes of the workspace that keeps most, until all are within the bound.
func (b *Book) discardOutcomes() {
	for b.outcomeBytes > b.maximumOutcomeBytes {
		b.outcomeBytes -= b.largestTenancy().discardOldest()
	}
}

func (b *Book) largestTenancy() *tenancy {
	var largest *tenancy
	for _, t := range b.tenancies {
		if largest == nil || t.bytes > largest.bytes || t.bytes == largest.bytes && t.name < largest.name {
			largest = t
		}
	}
	return largest
}

func (b *Book) tenancy(workspace string) *tenancy {
	t, known := b.tenancies[workspace]
	if !known {
		t = &tenancy{name: workspace}
		b.tenancies[workspace] = t
	}
	return t
}

func validAttempt(attempt string) bool {
	return printable(attempt) && len(attempt) <= maximumAttemptBytes
}

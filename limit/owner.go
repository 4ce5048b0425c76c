package limit

import (
	"sort"
	"time"
)

// An Owner keeps the buckets of all workspaces and grants their tokens; it is used by one goroutine.
type Owner struct {
	holdOff       time.Duration
	grantDuration time.Duration
	maximumHold   time.Duration
	margin        float64
	opensAt       time.Time
	ledgers       map[string]*ledger
	queued        []*ledger
}

// NewOwner returns an owner without buckets.
func NewOwner(now time.Time, opts ...OwnerOption) *Owner {
	o := &Owner{
		grantDuration: DefaultGrantDuration,
		maximumHold:   DefaultMaximumHold,
		margin:        DefaultClockRateMargin,
		ledgers:       make(map[string]*ledger),
	}
	for _, opt := range opts {
		opt(o)
	}
	o.opensAt = now.Add(o.holdOff)
	return o
}

// SetBuckets replaces all buckets. A workspace that is new after the hold-off starts with a full bucket; a
// changed one keeps its level up to the new burst; a removed one gets no token any more, and keeps its level for
// the case that it is published again.
func (o *Owner) SetBuckets(now time.Time, buckets []NamedBucket) {
	named := make(map[string]bool, len(buckets))
	for _, b := range buckets {
		named[b.Workspace] = true
		o.setBucket(now, b)
	}
	for workspace, l := range o.ledgers {
		if !named[workspace] {
			l.removed = true
		}
	}
}

func (o *Owner) setBucket(now time.Time, named NamedBucket) {
	l, known := o.ledgers[named.Workspace]
	if !known {
		o.ledgers[named.Workspace] = newLedger(named, o.margin, now, o.opensAt)
		return
	}
	l.settle(now)
	l.change(named.Bucket)
}

// Ask answers an ask, or holds it back until Poll answers it. The holder's name must differ between the
// incarnations of one daemon. A repeated ask is not answered again.
func (o *Owner) Ask(now time.Time, holder string, ask Ask) (Grant, bool) {
	l, known := o.ledgers[ask.Workspace]
	if !known {
		return Grant{ID: ask.ID, Workspace: ask.Workspace, RetryAfter: unknownRetryAfter}, true
	}
	if l.removed || l.bucket.Burst == 0 {
		return Grant{ID: ask.ID, Workspace: ask.Workspace, RetryAfter: maximumRetryAfter}, true
	}
	ask = ask.bounded(l.bucket.Burst)
	l.settle(now)
	if !l.admit(now, holder, ask.ID) {
		return Grant{}, false
	}
	if ask.Waiting == 0 {
		return o.grant(now, l, newHeldAsk(now, holder, ask), l.spare(ask)), true
	}
	if l.replaceHeld(now, holder, ask) {
		return Grant{}, false
	}
	if len(l.held) == 0 && l.whole() > 0 && !now.Before(o.opensAt) {
		return o.grant(now, l, newHeldAsk(now, holder, ask), l.portion(ask)), true
	}
	if wait := o.expectedWait(now, l, len(l.held)); wait > o.maximumHold {
		return o.deny(l, newHeldAsk(now, holder, ask), wait), true
	}
	o.hold(l, newHeldAsk(now, holder, ask))
	return Grant{}, false
}

// Opened reports whether the hold-off is over, so that what is held back waits for tokens alone.
func (o *Owner) Opened(now time.Time) bool {
	return !now.Before(o.opensAt)
}

// Poll answers the held asks for which there are tokens now, or that were held for the maximum.
func (o *Owner) Poll(now time.Time) []HolderGrant {
	var answers []HolderGrant
	still := o.queued[:0]
	for _, l := range o.queued {
		l.settle(now)
		answers = o.serve(now, l, answers)
		if len(l.held) > 0 {
			still = append(still, l)
		}
	}
	clear(o.queued[len(still):])
	o.queued = still
	return answers
}

// Next returns when to Poll next, if an ask is held: not before PollInterval, so that one grant carries the tokens
// of that time.
func (o *Owner) Next(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, l := range o.queued {
		at := l.held[0].heldSince.Add(o.maximumHold)
		if ready := now.Add(o.expectedWait(now, l, 0)); ready.Before(at) {
			at = ready
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if earliest := now.Add(PollInterval); next.Before(earliest) {
		next = earliest
	}
	return next, len(o.queued) > 0
}

// Return closes a grant. Unspent tokens go back to the level where the owner still counts the grant as open.
func (o *Owner) Return(now time.Time, holder string, r Return) {
	l, known := o.ledgers[r.Workspace]
	if !known {
		return
	}
	l.settle(now)
	l.close(grantKey{holder, r.GrantID}, r.Tokens)
}

// Leave answers nothing to a holder any more: its held asks are dropped, its grants run out.
func (o *Owner) Leave(holder string) {
	still := o.queued[:0]
	for _, l := range o.queued {
		l.dropHeld(holder)
		if len(l.held) > 0 {
			still = append(still, l)
		}
	}
	clear(o.queued[len(still):])
	o.queued = still
}

// Stats returns the state of each bucket by the workspace's name.
func (o *Owner) Stats(now time.Time) []BucketStats {
	stats := make([]BucketStats, 0, len(o.ledgers))
	for workspace, l := range o.ledgers {
		if l.removed {
			continue
		}
		l.settle(now)
		stats = append(stats, BucketStats{
			Workspace:   workspace,
			Level:       l.whole(),
			Outstanding: l.outstanding,
			Grants:      len(l.open),
			Held:        len(l.held),
		})
	}
	sort.Slice(stats, func(i, j int) bool { return stats[i].Workspace < stats[j].Workspace })
	return stats
}

func (o *Owner) serve(now time.Time, l *ledger, answers []HolderGrant) []HolderGrant {
	open := !now.Before(o.opensAt) && !l.removed
	for len(l.held) > 0 {
		first := l.held[0]
		if open && l.whole() > 0 {
			tokens := l.portion(first.ask)
			l.popHeld()
			answers = append(answers, HolderGrant{first.holder, o.grant(now, l, first, tokens)})
			continue
		}
		if now.Sub(first.heldSince) < o.maximumHold && !l.removed {
			break
		}
		l.popHeld()
		answers = append(answers, HolderGrant{first.holder, o.deny(l, first, o.expectedWait(now, l, len(l.held)))})
	}
	return answers
}

func (o *Owner) hold(l *ledger, held heldAsk) {
	if len(l.held) == 0 {
		o.queued = append(o.queued, l)
	}
	l.held = append(l.held, held)
}

func (o *Owner) grant(now time.Time, l *ledger, held heldAsk, tokens int64) Grant {
	l.answered(held.holder, held.ask.ID)
	if now.Before(o.opensAt) {
		tokens = 0
	}
	if tokens == 0 {
		return Grant{ID: held.ask.ID, Workspace: l.workspace}
	}
	expires := now.Add(time.Duration(float64(o.grantDuration) * (1 + o.margin)))
	l.take(grantKey{held.holder, held.ask.ID}, tokens, expires)
	heldFor := time.Duration(float64(now.Sub(held.receivedAt)) * (1 - o.margin))
	return Grant{ID: held.ask.ID, Workspace: l.workspace, Tokens: tokens, Duration: o.grantDuration + heldFor}
}

func (o *Owner) deny(l *ledger, held heldAsk, wait time.Duration) Grant {
	l.answered(held.holder, held.ask.ID)
	wait = min(max(wait, minimumRetryAfter), maximumRetryAfter)
	return Grant{ID: held.ask.ID, Workspace: l.workspace, RetryAfter: wait}
}

func (o *Owner) expectedWait(now time.Time, l *ledger, ahead int) time.Duration {
	wait := l.timeTo(int64(ahead) + 1)
	if now.Before(o.opensAt) {
		wait += o.opensAt.Sub(now)
	}
	return wait
}

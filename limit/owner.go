package limit

import (
	"sort"
	"time"
)

// An Owner keeps the token buckets of all workspaces and grants their tokens. It is not safe for concurrent use.
type Owner struct {
	holdOff          time.Duration
	grantDuration    time.Duration
	maximumQueueTime time.Duration
	margin           float64
	holdOffUntil     time.Time
	buckets          map[string]*tokenBucket
	queuedBuckets    []*tokenBucket
}

// NewOwner returns an owner without buckets.
func NewOwner(now time.Time, opts ...OwnerOption) *Owner {
	o := &Owner{
		grantDuration:    DefaultGrantDuration,
		maximumQueueTime: DefaultMaximumQueueTime,
		margin:           DefaultClockRateMargin,
		buckets:          make(map[string]*tokenBucket),
	}
	for _, opt := range opts {
		opt(o)
	}
	o.holdOffUntil = now.Add(o.holdOff)
	return o
}

// SetBuckets replaces the limits of all workspaces. A workspace added after the hold-off starts with a full bucket. A
// changed workspace keeps its level, up to the new burst. A removed workspace gets no more tokens, but its level is
// kept in case the workspace is published again.
func (o *Owner) SetBuckets(now time.Time, buckets []NamedBucket) {
	named := make(map[string]bool, len(buckets))
	for _, b := range buckets {
		named[b.Workspace] = true
		o.setBucket(now, b)
	}
	for workspace, tb := range o.buckets {
		if !named[workspace] {
			tb.removed = true
		}
	}
}

func (o *Owner) setBucket(now time.Time, named NamedBucket) {
	tb, known := o.buckets[named.Workspace]
	if !known {
		o.buckets[named.Workspace] = newTokenBucket(named, o.margin, now, o.holdOffUntil)
		return
	}
	tb.advance(now)
	tb.setBucket(named.Bucket)
}

// Request answers a grant request, or queues it for Poll to answer and returns false. The holder's name must differ
// between the incarnations of one daemon. A duplicate request is not answered again.
func (o *Owner) Request(now time.Time, holder string, request GrantRequest) (Grant, bool) {
	tb, known := o.buckets[request.Workspace]
	if !known {
		return Grant{ID: request.ID, Workspace: request.Workspace, RetryAfter: unknownWorkspaceRetryAfter}, true
	}
	if tb.removed || tb.bucket.Burst == 0 {
		return Grant{ID: request.ID, Workspace: request.Workspace, RetryAfter: maximumRetryAfter}, true
	}
	request = request.clamped(tb.bucket.Burst)
	tb.advance(now)
	if !tb.recordRequest(now, holder, request.ID) {
		return Grant{}, false
	}
	if request.Waiting == 0 {
		return o.grant(now, tb, newQueuedRequest(now, holder, request), tb.prefetchGrantSize(request)), true
	}
	if tb.replaceQueued(now, holder, request) {
		return Grant{}, false
	}
	if len(tb.queue) == 0 && tb.wholeTokens() > 0 && !now.Before(o.holdOffUntil) {
		return o.grant(now, tb, newQueuedRequest(now, holder, request), tb.grantSize(request)), true
	}
	if wait := o.expectedWait(now, tb, len(tb.queue)); wait > o.maximumQueueTime {
		return o.deny(now, tb, newQueuedRequest(now, holder, request), wait), true
	}
	o.enqueue(tb, newQueuedRequest(now, holder, request))
	return Grant{}, false
}

// HoldOffOver reports whether the hold-off is over, so that queued grant requests wait only for tokens.
func (o *Owner) HoldOffOver(now time.Time) bool {
	return !now.Before(o.holdOffUntil)
}

// Poll answers the queued grant requests for which tokens are available or that have been queued for the maximum time.
func (o *Owner) Poll(now time.Time) []HolderGrant {
	var answers []HolderGrant
	kept := o.queuedBuckets[:0]
	for _, tb := range o.queuedBuckets {
		tb.advance(now)
		answers = o.serve(now, tb, answers)
		if len(tb.queue) > 0 {
			kept = append(kept, tb)
		}
	}
	clear(o.queuedBuckets[len(kept):])
	o.queuedBuckets = kept
	return answers
}

// Next returns when to call Poll next, or false if no grant request is queued. The time is at least PollInterval after
// now, so that one grant carries all tokens refilled in that interval.
func (o *Owner) Next(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, tb := range o.queuedBuckets {
		at := tb.queue[0].queuedAt.Add(o.maximumQueueTime)
		if ready := now.Add(o.expectedWait(now, tb, 0)); ready.Before(at) {
			at = ready
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if earliest := now.Add(PollInterval); next.Before(earliest) {
		next = earliest
	}
	return next, len(o.queuedBuckets) > 0
}

// Return closes a grant and adds its unspent tokens to the level. A grant that is already closed or expired is ignored.
func (o *Owner) Return(now time.Time, holder string, r Return) {
	tb, known := o.buckets[r.Workspace]
	if !known {
		return
	}
	tb.advance(now)
	tb.returnGrant(now, grantKey{holder, r.GrantID}, r.Tokens)
}

// ChargeFallbackSpending lowers the level by what a workspace spent at a holder without the owner's grants. Spending
// before the end of the hold-off is not charged: the owner has not refilled the bucket for that time.
func (o *Owner) ChargeFallbackSpending(now time.Time, holder string, f FallbackSpending) {
	tb, known := o.buckets[f.Workspace]
	if !known {
		return
	}
	tb.advance(now)
	previous, known := tb.fallbackTotals[holder]
	tb.fallbackTotals[holder] = reportedFallback{total: f.Total, at: now}
	tokens := f.Total - previous.total
	if !known || tokens < 0 {
		tokens = f.since(now, o.holdOffUntil)
	}
	if now.After(o.holdOffUntil) {
		tb.charge(tokens)
	}
}

// RemoveHolder removes the queued grant requests of a holder that has left. Its open grants expire.
func (o *Owner) RemoveHolder(holder string) {
	kept := o.queuedBuckets[:0]
	for _, tb := range o.queuedBuckets {
		tb.removeQueued(holder)
		if len(tb.queue) > 0 {
			kept = append(kept, tb)
		}
	}
	clear(o.queuedBuckets[len(kept):])
	o.queuedBuckets = kept
}

// Pressed returns the workspaces that use up their limit, sorted: those with less than half of their burst left, and those
// with queued grant requests.
func (o *Owner) Pressed(now time.Time) []string {
	var pressed []string
	for workspace, tb := range o.buckets {
		if tb.removed {
			continue
		}
		tb.advance(now)
		if len(tb.queue) > 0 || 2*tb.wholeTokens() < tb.bucket.Burst {
			pressed = append(pressed, workspace)
		}
	}
	sort.Strings(pressed)
	return pressed
}

// Stats returns the state of each bucket, sorted by workspace.
func (o *Owner) Stats(now time.Time) []BucketStats {
	stats := make([]BucketStats, 0, len(o.buckets))
	for workspace, tb := range o.buckets {
		if tb.removed {
			continue
		}
		tb.advance(now)
		stats = append(stats, BucketStats{
			Workspace:   workspace,
			Level:       tb.wholeTokens(),
			Outstanding: tb.outstanding,
			Grants:      len(tb.openGrants),
			Held:        len(tb.queue),
		})
	}
	sort.Slice(stats, func(i, j int) bool { return stats[i].Workspace < stats[j].Workspace })
	return stats
}

func (o *Owner) serve(now time.Time, tb *tokenBucket, answers []HolderGrant) []HolderGrant {
	granting := !now.Before(o.holdOffUntil) && !tb.removed
	for len(tb.queue) > 0 {
		first := tb.queue[0]
		if granting && tb.wholeTokens() > 0 {
			tokens := tb.grantSize(first.request)
			tb.dequeue()
			answers = append(answers, HolderGrant{first.holder, o.grant(now, tb, first, tokens)})
			continue
		}
		if now.Sub(first.queuedAt) < o.maximumQueueTime && !tb.removed {
			break
		}
		tb.dequeue()
		answers = append(answers, HolderGrant{first.holder, o.deny(now, tb, first, o.expectedWait(now, tb, len(tb.queue)))})
	}
	return answers
}

func (o *Owner) enqueue(tb *tokenBucket, queued queuedRequest) {
	if len(tb.queue) == 0 {
		o.queuedBuckets = append(o.queuedBuckets, tb)
	}
	tb.queue = append(tb.queue, queued)
}

func (o *Owner) grant(now time.Time, tb *tokenBucket, queued queuedRequest, tokens int64) Grant {
	tb.recordAnswer(queued.holder, queued.request.ID)
	if now.Before(o.holdOffUntil) {
		tokens = 0
	}
	granted := Grant{ID: queued.request.ID, Workspace: tb.workspace}
	if tokens > 0 {
		expires := now.Add(time.Duration(float64(o.grantDuration) * (1 + o.margin)))
		tb.addGrant(now, grantKey{queued.holder, queued.request.ID}, tokens, expires)
		queuedFor := time.Duration(float64(now.Sub(queued.receivedAt)) * (1 - o.margin))
		granted.Tokens, granted.Duration = tokens, o.grantDuration+queuedFor
	}
	granted.FallbackShare = tb.fallbackShare(now)
	return granted
}

func (o *Owner) deny(now time.Time, tb *tokenBucket, queued queuedRequest, wait time.Duration) Grant {
	tb.recordAnswer(queued.holder, queued.request.ID)
	wait = min(max(wait, minimumRetryAfter), maximumRetryAfter)
	return Grant{ID: queued.request.ID, Workspace: tb.workspace, RetryAfter: wait, FallbackShare: tb.fallbackShare(now)}
}

func (o *Owner) expectedWait(now time.Time, tb *tokenBucket, ahead int) time.Duration {
	wait := tb.timeUntil(int64(ahead) + 1)
	if now.Before(o.holdOffUntil) {
		wait += o.holdOffUntil.Sub(now)
	}
	return wait
}

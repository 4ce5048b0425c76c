package limit

import "time"

// A FallbackSpending tells an owner how many tokens a workspace spent at a holder without the owner's grants.
type FallbackSpending struct {
	Workspace string
	// Total is the number of tokens since the start of the holder. The owner charges its growth, so that it charges each
	// token once, also after a lost or repeated message.
	Total int64
	// Recent is the part of Total that was spent in the last silence, and Period the time since that silence began. An
	// owner that has no earlier total of the holder charges Recent.
	Recent int64
	Period time.Duration
}

// since returns how many of the recent tokens were spent after start, if the spending was even.
func (f FallbackSpending) since(now, start time.Time) int64 {
	share := 1.0
	if f.Period > 0 {
		share = min(1, max(0, now.Sub(start).Seconds()/f.Period.Seconds()))
	}
	return int64(share * float64(f.Recent))
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

// reportedFallback is the last spending without the owner that a holder told of.
type reportedFallback struct {
	total int64
	at    time.Time
}

// charge lowers the level, also below zero. A debt is limited to what may be spent without the owner at most, so that
// a wrong message can't deny tokens for long.
func (tb *tokenBucket) charge(tokens int64) {
	lowest := -min(tb.bucket.Burst+int64(maximumDebt.Seconds()*tb.bucket.Rate), maximumBurst)
	tokens = min(max(tokens, 0), maximumBurst)
	tb.level = min(tb.level, max(tb.level-tokens*nanotokensPerToken, lowest*nanotokensPerToken))
}

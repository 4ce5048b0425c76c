package limit_test

import (
	"testing"
	"time"

	"sapphirespread.example/limit"
)

func after(d time.Duration) time.Time { return epoch.Add(d) }

func newOwner(rate float64, burst int64, opts ...limit.OwnerOption) *limit.Owner {
	o := limit.NewOwner(epoch, opts...)
	o.SetBuckets(after(time.Nanosecond), []limit.NamedBucket{{Workspace: workspace, Bucket: limit.Bucket{Rate: rate, Burst: burst}}})
	return o
}

// requestGrant requests tokens for waiting requests and returns the new holder and the grant, which the holder has not
// accepted yet.
func requestGrant(t *testing.T, o *limit.Owner, sent, answered time.Time, waiting int, opts ...limit.HolderOption) (*limit.Holder, limit.Grant) {
	t.Helper()
	h := limit.NewHolder(opts...)
	for range waiting {
		h.Wait(sent, workspace)
	}
	requests := h.GrantRequests(sent)
	if len(requests) != 1 || requests[0].Waiting != int64(waiting) {
		t.Fatalf("grant requests = %+v, want one for %d waiting requests", requests, waiting)
	}
	g, ok := o.Request(answered, "daemon-a", requests[0])
	if !ok {
		t.Fatal("grant request queued although the bucket is full")
	}
	for range waiting {
		h.Unwait(workspace)
	}
	return h, g
}

func spendAll(h *limit.Holder, now time.Time) (spent int64) {
	for h.Spend(now, workspace, 1) {
		spent++
	}
	return spent
}

func TestGrantIsAcceptedOnce(t *testing.T) {
	h, g := requestGrant(t, newOwner(1, 5), after(time.Second), after(time.Second), 5)
	spent := int64(0)
	for range 3 {
		h.Accept(after(time.Second), g)
		spent += spendAll(h, after(time.Second))
	}
	if spent != 5 {
		t.Fatalf("spent %d tokens, want the 5 of the grant", spent)
	}
}

func TestOwnerCountsAGrantUntilTheSlowestHolderCannotSpendIt(t *testing.T) {
	const margin = 0.05
	sent := after(time.Second)
	o := newOwner(0.001, 5, limit.WithClockRateMargin(margin))
	h, g := requestGrant(t, o, sent, sent, 5, limit.WithHolderClockRateMargin(margin))
	h.Accept(sent, g)
	for elapsed := time.Duration(0); elapsed < 2*time.Second; elapsed += 100 * time.Microsecond {
		slowHolder := sent.Add(time.Duration(float64(elapsed) * (1 - margin)))
		fastOwner := sent.Add(time.Duration(float64(elapsed) * (1 + margin)))
		if outstanding := o.Stats(fastOwner)[0].Outstanding; outstanding > 0 {
			continue
		}
		if spent := spendAll(h, slowHolder); spent > 0 {
			t.Fatalf("%d tokens spent %v after the request, when the grant had expired at the owner", spent, elapsed)
		}
		return
	}
	t.Fatal("the grant never expired at the owner")
}

func TestFastOwnerClockRefillsWithinTheRate(t *testing.T) {
	const margin, rate, burst, seconds = 0.05, 300, 10, 60
	o := newOwner(rate, burst, limit.WithClockRateMargin(margin))
	var spent int64
	for ms := range seconds * 1000 {
		now := after(time.Duration(float64(ms) * float64(time.Millisecond) * (1 + margin)))
		g, _ := o.Request(now, "daemon-a", limit.GrantRequest{ID: uint64(ms + 1), Workspace: workspace, Tokens: burst, Waiting: burst})
		o.Return(now, "daemon-a", limit.Return{GrantID: g.ID, Workspace: workspace})
		spent += g.Tokens
		for _, answer := range o.Poll(now) {
			spent += answer.Grant.Tokens
			o.Return(now, "daemon-a", limit.Return{GrantID: answer.Grant.ID, Workspace: workspace})
		}
	}
	if maximum := int64(burst + rate*seconds); spent > maximum {
		t.Fatalf("%d tokens granted in %d s, want at most %d", spent, seconds, maximum)
	}
}

func TestReturnedTokensComeBackOnce(t *testing.T) {
	o := newOwner(0, 5)
	h, g := requestGrant(t, o, after(time.Second), after(time.Second), 5)
	h.Accept(after(time.Second), g)
	h.Spend(after(time.Second), workspace, 2)
	for range 3 {
		for _, r := range h.ReturnAll() {
			o.Return(after(time.Second), "daemon-a", r)
			o.Return(after(time.Second), "daemon-a", r)
		}
	}
	if level := o.Stats(after(time.Second))[0].Level; level != 3 {
		t.Fatalf("level = %d after 3 of 5 tokens were returned, want 3", level)
	}
	if spent := spendAll(h, after(time.Second)); spent != 0 {
		t.Fatalf("%d returned tokens spent", spent)
	}
}

func TestUnknownWorkspaceAndNoBurstAreDeniedAtOnce(t *testing.T) {
	o := newOwner(10, 0)
	for _, name := range []string{workspace, "unknown"} {
		g, answered := o.Request(after(time.Second), "daemon-a", limit.GrantRequest{ID: 1, Workspace: name, Tokens: 1, Waiting: 1})
		if !answered || g.Tokens != 0 || g.RetryAfter <= 0 {
			t.Errorf("%s: grant = %+v, answered %v", name, g, answered)
		}
	}
}

// TestFallbackSpendingIsChargedOnce guards against an owner that grants what a holder has spent in its place, and against
// one that charges it again: a message of the holder may be lost or repeated, and the spending before the end of a new
// owner's hold-off had no refill.
func TestFallbackSpendingIsChargedOnce(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	const rate, burst = 10, 100
	holdOff := limit.HoldOff(limit.DefaultGrantDuration, limit.DefaultClockRateMargin)
	level := func(o *limit.Owner, now time.Time) int64 { return o.Stats(now)[0].Level }
	spending := func(total, recent int64, period time.Duration) limit.FallbackSpending {
		return limit.FallbackSpending{Workspace: "club", Total: total, Recent: recent, Period: period}
	}
	buckets := []limit.NamedBucket{{Workspace: "club", Bucket: limit.Bucket{Rate: rate, Burst: burst}}}

	living := limit.NewOwner(start)
	now := start.Add(time.Second)
	living.SetBuckets(now, buckets)
	for _, step := range []struct {
		total, recent, want int64
	}{{30, 30, 70}, {30, 30, 70}, {45, 15, 55}, {200, 155, -100}, {10, 10, -110}, {100000, 99990, -120}} {
		living.ChargeFallbackSpending(now, "daemon", spending(step.total, step.recent, 100*time.Millisecond))
		if got := level(living, now); got != step.want {
			t.Errorf("a level of %d after a total of %d, want %d", got, step.total, step.want)
		}
	}
	if grant, answered := living.Request(now, "daemon", limit.GrantRequest{ID: 1, Workspace: "club", Tokens: 1, Waiting: 1}); !answered || grant.Tokens > 0 {
		t.Errorf("an owner in debt answered %+v", grant)
	}
	if got := level(living, now.Add(13*time.Second)); got < 5 || got > 10 {
		t.Errorf("a level of %d, 13 s after a debt of 120 at a rate of %d, want about 10", got, rate)
	}

	fresh := limit.NewOwner(start, limit.WithOwnerStart(holdOff))
	fresh.SetBuckets(start, buckets)
	fresh.ChargeFallbackSpending(start.Add(holdOff/2), "early", spending(500, 20, time.Second))
	now = start.Add(holdOff + 4*time.Second)
	before := level(fresh, now)
	fresh.ChargeFallbackSpending(now, "early", spending(500, 20, 5*time.Second))
	if got := level(fresh, now); got != before {
		t.Errorf("spending before the end of the hold-off lowered the level from %d to %d", before, got)
	}
	fresh.ChargeFallbackSpending(now, "late", spending(500, 20, 8*time.Second))
	if got := level(fresh, now); got != before-10 {
		t.Errorf("a level of %d after 20 tokens of which half were spent since the hold-off, want %d", got, before-10)
	}
}

// TestFallbackSpendingIsToldAgainAfterALostConnection guards against spending that an owner never learns of, since the
// message with it was lost with the connection.
func TestFallbackSpendingIsToldAgainAfterALostConnection(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	h := limit.NewHolder(limit.WithFallbackSpending(2 * time.Second))
	h.Wait(now, "club")
	h.RecordHeartbeat(now)
	h.Disconnect(now.Add(time.Millisecond))
	now = now.Add(time.Second)
	if !h.Spend(now, "club", 1) {
		t.Fatal("no token spent in the silence")
	}
	want := limit.FallbackSpending{Workspace: "club", Total: 1, Recent: 1, Period: 999 * time.Millisecond}
	if got := h.CollectFallbackSpending(now); len(got) != 1 || got[0] != want {
		t.Errorf("collected %+v, want %+v", got, want)
	}
	if got := h.CollectFallbackSpending(now); len(got) != 0 {
		t.Errorf("collected %+v once more", got)
	}
	h.Disconnect(now)
	if got := h.CollectFallbackSpending(now); len(got) != 1 || got[0] != want {
		t.Errorf("collected %+v after a lost connection, want %+v", got, want)
	}
	h.Disconnect(now.Add(time.Minute))
	if got := h.CollectFallbackSpending(now.Add(time.Minute)); len(got) != 0 {
		t.Errorf("collected %+v a minute later", got)
	}
}

package limit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/limit"
)

const (
	testClockMargin      = 0.05
	testGrantDuration    = 500 * time.Millisecond
	longestGrantLifetime = testGrantDuration * 105 / 95
	allTokens            = 1000
	workspace            = "club"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a local clock with an offset from true time and a clock-rate error.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) now(elapsed time.Duration) time.Time {
	return epoch.Add(c.offset + time.Duration(float64(elapsed)*c.rate))
}

func drawClock(t *rapid.T) clock {
	return clock{
		offset: time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "offset")),
		rate:   rapid.SampledFrom([]float64{1 - testClockMargin, 1, 1 + testClockMargin}).Draw(t, "clock rate"),
	}
}

type daemon struct {
	*limit.Holder
	name string
	clock
}

// message is a message in flight between a daemon and the owner. Exactly one of request, grant and returned is set.
type message struct {
	daemon   *daemon
	request  *limit.GrantRequest
	grant    *limit.Grant
	returned *limit.Return
}

type bucketSetting struct {
	since  time.Duration
	bucket limit.Bucket
}

// fleet simulates one owner and its holders, connected by links that lose, duplicate and reorder messages. Its times
// are true time.
type fleet struct {
	t        *rapid.T
	elapsed  time.Duration
	owner    *limit.Owner
	clock    clock
	daemons  []*daemon
	created  int
	inFlight []message
	settings []bucketSetting
	spentAt  []time.Duration
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, clock: drawClock(t)}
	f.owner = limit.NewOwner(f.now(), limit.WithGrantDuration(testGrantDuration), limit.WithClockRateMargin(testClockMargin))
	f.elapsed++
	f.setBucket(drawBucket(t))
	for range 3 {
		f.daemons = append(f.daemons, f.newDaemon())
	}
	return f
}

func drawBucket(t *rapid.T) limit.Bucket {
	return limit.Bucket{
		Rate:  rapid.SampledFrom([]float64{0, 0.5, 7, 40, 300}).Draw(t, "rate"),
		Burst: rapid.Int64Range(0, 25).Draw(t, "burst"),
	}
}

func (f *fleet) now() time.Time { return f.clock.now(f.elapsed) }

func (f *fleet) newDaemon() *daemon {
	f.created++
	h := limit.NewHolder(limit.WithHolderClockRateMargin(testClockMargin))
	return &daemon{Holder: h, name: fmt.Sprintf("daemon-%d", f.created), clock: drawClock(f.t)}
}

func (f *fleet) setBucket(b limit.Bucket) {
	f.settings = append(f.settings, bucketSetting{f.elapsed, b})
	f.owner.SetBuckets(f.now(), []limit.NamedBucket{{Workspace: workspace, Bucket: b}})
}

func (f *fleet) drawDaemon() *daemon {
	return f.daemons[rapid.IntRange(0, len(f.daemons)-1).Draw(f.t, "daemon")]
}

func (f *fleet) spend(d *daemon, atMost int) {
	for range atMost {
		if !d.Spend(d.now(f.elapsed), workspace, 1) {
			return
		}
		f.spentAt = append(f.spentAt, f.elapsed)
	}
}

func (f *fleet) requestTokens(d *daemon, waiting int) {
	now := d.now(f.elapsed)
	for range waiting {
		d.Wait(now, workspace)
	}
	for _, request := range d.GrantRequests(now) {
		f.inFlight = append(f.inFlight, message{daemon: d, request: &request})
	}
	for range waiting {
		d.Unwait(workspace)
	}
}

func (f *fleet) sendReturns(d *daemon, returns []limit.Return) {
	for _, r := range returns {
		f.inFlight = append(f.inFlight, message{daemon: d, returned: &r})
	}
}

func (f *fleet) deliver(msg message) {
	switch {
	case msg.request != nil:
		if g, answered := f.owner.Request(f.now(), msg.daemon.name, *msg.request); answered {
			f.inFlight = append(f.inFlight, message{daemon: msg.daemon, grant: &g})
		}
	case msg.grant != nil:
		msg.daemon.Accept(msg.daemon.now(f.elapsed), *msg.grant)
	default:
		f.owner.Return(f.now(), msg.daemon.name, *msg.returned)
	}
}

func (f *fleet) deliverRandom() {
	if len(f.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.inFlight)-1).Draw(f.t, "message")
	msg := f.inFlight[i]
	fate := rapid.SampledFrom([]string{"deliver", "deliver", "deliver", "repeat", "lose"}).Draw(f.t, "fate")
	if fate != "repeat" {
		f.inFlight = append(f.inFlight[:i], f.inFlight[i+1:]...)
	}
	if fate != "lose" {
		f.deliver(msg)
	}
}

// deliverAll delivers up to 50 messages in order, so that the next steps start with as many granted tokens as possible.
func (f *fleet) deliverAll() {
	for range 50 {
		if len(f.inFlight) == 0 {
			return
		}
		msg := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		f.deliver(msg)
	}
}

func (f *fleet) poll() {
	for _, answer := range f.owner.Poll(f.now()) {
		for _, d := range f.daemons {
			if d.name == answer.Holder {
				f.inFlight = append(f.inFlight, message{daemon: d, grant: &answer.Grant})
			}
		}
	}
}

func (f *fleet) changeOwner() {
	f.clock = drawClock(f.t)
	f.owner = limit.NewOwner(f.now(),
		limit.WithGrantDuration(testGrantDuration),
		limit.WithClockRateMargin(testClockMargin),
		limit.WithOwnerStart(limit.HoldOff(testGrantDuration, testClockMargin)))
	f.setBucket(f.settings[len(f.settings)-1].bucket)
}

// spendEverything spends all granted tokens, then all tokens that the owner still grants.
func (f *fleet) spendEverything() {
	for _, d := range f.daemons {
		f.spend(d, allTokens)
	}
	for _, d := range f.daemons {
		f.requestTokens(d, 25)
		f.deliverAll()
		f.poll()
		f.deliverAll()
		f.spend(d, allTokens)
	}
}

func (f *fleet) step(changing bool) {
	f.elapsed += rapid.SampledFrom([]time.Duration{0, 0, 1, 5, 40, 470, 480, 500, 520, 550}).Draw(f.t, "ms") * time.Millisecond
	d := f.drawDaemon()
	switch action := rapid.IntRange(0, 27).Draw(f.t, "action"); {
	case action >= 26:
		f.spendEverything()
	case action < 2:
		f.spend(d, allTokens)
	case action < 4:
		f.requestTokens(d, 25)
		f.deliverAll()
	case action < 9:
		f.requestTokens(d, rapid.IntRange(0, 20).Draw(f.t, "waiting"))
	case action < 15:
		f.deliverRandom()
	case action < 17:
		f.deliverAll()
	case action < 19:
		f.poll()
	case action < 20:
		f.sendReturns(d, d.CollectReturns(d.now(f.elapsed)))
	case action < 21:
		f.sendReturns(d, d.ReturnAll())
	case action < 22:
		f.elapsed += testGrantDuration
	case action < 23:
		f.daemons[rapid.IntRange(0, len(f.daemons)-1).Draw(f.t, "crashed")] = f.newDaemon()
	case action < 24:
		f.changeOwner()
	case changing && action < 25:
		f.setBucket(drawBucket(f.t))
	case changing:
		f.owner.SetBuckets(f.now(), nil) // the old setting bounds the spending until the next setBucket
	}
}

// allowed returns the maximum number of tokens that may be spent from start to end, both inclusive. It is the largest
// burst of all settings whose grants may be open at start, plus the tokens refilled from start to end.
func (f *fleet) allowed(start, end time.Duration) float64 {
	lookBack := start - longestGrantLifetime
	var burst int64
	var refill float64
	for i, s := range f.settings {
		until := time.Duration(math.MaxInt64)
		if i+1 < len(f.settings) {
			until = f.settings[i+1].since
		}
		if s.since <= start && until >= lookBack {
			burst = max(burst, s.bucket.Burst)
		}
		refill += s.bucket.Rate * max(0, min(until, end)-max(s.since, start)).Seconds()
	}
	return float64(burst) + refill
}

func (f *fleet) checkWindows() {
	for i, start := range f.spentAt {
		for j := i; j < len(f.spentAt); j++ {
			if used, allowed := float64(j-i+1), f.allowed(start, f.spentAt[j]); used > allowed+1e-6 {
				f.t.Fatalf("%v tokens spent from %v to %v, at most %v allowed by %+v", used, start, f.spentAt[j], allowed, f.settings)
			}
		}
	}
}

func runFleet(t *rapid.T, changing bool) {
	f := newFleet(t)
	steps := rapid.IntRange(100, 500).Draw(t, "steps")
	for range steps {
		f.step(changing)
	}
	f.checkWindows()
}

func TestUseInEveryWindowIsWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runFleet(t, false) })
}

func TestUseInEveryWindowWhileLimitsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runFleet(t, true) })
}

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
	testMargin   = 0.05
	testDuration = 500 * time.Millisecond
	longestLife  = testDuration * 105 / 95
	everything   = 1000
	workspace    = "club"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock shows true time at a rate of its own.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(elapsed time.Duration) time.Time {
	return epoch.Add(c.offset + time.Duration(float64(elapsed)*c.rate))
}

func drawClock(t *rapid.T) clock {
	return clock{
		offset: time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "offset")),
		rate:   rapid.SampledFrom([]float64{1 - testMargin, 1, 1 + testMargin}).Draw(t, "clock rate"),
	}
}

type member struct {
	*limit.Holder
	name string
	clock
}

// packet is a message in flight in either direction; exactly one of its parts is set.
type packet struct {
	member *member
	ask    *limit.Ask
	grant  *limit.Grant
	back   *limit.Return
}

type setting struct {
	since  time.Duration
	bucket limit.Bucket
}

// fleet is one owner and its holders over links that lose, repeat and reorder, in true time.
type fleet struct {
	t        *rapid.T
	elapsed  time.Duration
	owner    *limit.Owner
	clock    clock
	members  []*member
	born     int
	flight   []packet
	settings []setting
	uses     []time.Duration
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, clock: drawClock(t)}
	f.owner = limit.NewOwner(f.now(), limit.WithGrantDuration(testDuration), limit.WithClockRateMargin(testMargin))
	f.elapsed++
	f.set(drawBucket(t))
	for range 3 {
		f.members = append(f.members, f.newMember())
	}
	return f
}

func drawBucket(t *rapid.T) limit.Bucket {
	return limit.Bucket{
		Rate:  rapid.SampledFrom([]float64{0, 0.5, 7, 40, 300}).Draw(t, "rate"),
		Burst: rapid.Int64Range(0, 25).Draw(t, "burst"),
	}
}

func (f *fleet) now() time.Time { return f.clock.at(f.elapsed) }

func (f *fleet) newMember() *member {
	f.born++
	h := limit.NewHolder(limit.WithHolderClockRateMargin(testMargin))
	return &member{Holder: h, name: fmt.Sprintf("daemon-%d", f.born), clock: drawClock(f.t)}
}

func (f *fleet) set(b limit.Bucket) {
	f.settings = append(f.settings, setting{f.elapsed, b})
	f.owner.SetBuckets(f.now(), []limit.NamedBucket{{Workspace: workspace, Bucket: b}})
}

func (f *fleet) anyMember() *member {
	return f.members[rapid.IntRange(0, len(f.members)-1).Draw(f.t, "member")]
}

func (f *fleet) spend(m *member, atMost int) {
	for range atMost {
		if !m.Spend(m.at(f.elapsed), workspace, 1) {
			return
		}
		f.uses = append(f.uses, f.elapsed)
	}
}

func (f *fleet) ask(m *member, waiting int) {
	now := m.at(f.elapsed)
	for range waiting {
		m.Wait(now, workspace)
	}
	for _, ask := range m.Asks(now) {
		f.flight = append(f.flight, packet{member: m, ask: &ask})
	}
	for range waiting {
		m.Unwait(workspace)
	}
}

func (f *fleet) sendBack(m *member, returns []limit.Return) {
	for _, r := range returns {
		f.flight = append(f.flight, packet{member: m, back: &r})
	}
}

func (f *fleet) deliver(p packet) {
	switch {
	case p.ask != nil:
		if g, answered := f.owner.Ask(f.now(), p.member.name, *p.ask); answered {
			f.flight = append(f.flight, packet{member: p.member, grant: &g})
		}
	case p.grant != nil:
		p.member.Accept(p.member.at(f.elapsed), *p.grant)
	default:
		f.owner.Return(f.now(), p.member.name, *p.back)
	}
}

func (f *fleet) deliverAny() {
	if len(f.flight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.flight)-1).Draw(f.t, "packet")
	p := f.flight[i]
	fate := rapid.SampledFrom([]string{"deliver", "deliver", "deliver", "repeat", "lose"}).Draw(f.t, "fate")
	if fate != "repeat" {
		f.flight = append(f.flight[:i], f.flight[i+1:]...)
	}
	if fate != "lose" {
		f.deliver(p)
	}
}

// deliverAll empties the links in order, so that the next steps find as many tokens out as can be.
func (f *fleet) deliverAll() {
	for range 50 {
		if len(f.flight) == 0 {
			return
		}
		p := f.flight[0]
		f.flight = f.flight[1:]
		f.deliver(p)
	}
}

func (f *fleet) poll() {
	for _, answer := range f.owner.Poll(f.now()) {
		for _, m := range f.members {
			if m.name == answer.Holder {
				f.flight = append(f.flight, packet{member: m, grant: &answer.Grant})
			}
		}
	}
}

func (f *fleet) changeOwner() {
	f.clock = drawClock(f.t)
	f.owner = limit.NewOwner(f.now(),
		limit.WithGrantDuration(testDuration),
		limit.WithClockRateMargin(testMargin),
		limit.WithOwnerStart(limit.HoldOff(testDuration, testMargin)))
	f.set(f.settings[len(f.settings)-1].bucket)
}

// rush spends all that is out, then all that the owner gives.
func (f *fleet) rush() {
	for _, m := range f.members {
		f.spend(m, everything)
	}
	for _, m := range f.members {
		f.ask(m, 25)
		f.deliverAll()
		f.poll()
		f.deliverAll()
		f.spend(m, everything)
	}
}

func (f *fleet) step(changing bool) {
	f.elapsed += rapid.SampledFrom([]time.Duration{0, 0, 1, 5, 40, 470, 480, 500, 520, 550}).Draw(f.t, "ms") * time.Millisecond
	m := f.anyMember()
	switch action := rapid.IntRange(0, 27).Draw(f.t, "action"); {
	case action >= 26:
		f.rush()
	case action < 2:
		f.spend(m, everything)
	case action < 4:
		f.ask(m, 25)
		f.deliverAll()
	case action < 9:
		f.ask(m, rapid.IntRange(0, 20).Draw(f.t, "waiting"))
	case action < 15:
		f.deliverAny()
	case action < 17:
		f.deliverAll()
	case action < 19:
		f.poll()
	case action < 20:
		f.sendBack(m, m.Idle(m.at(f.elapsed)))
	case action < 21:
		f.sendBack(m, m.Drop())
	case action < 22:
		f.elapsed += testDuration
	case action < 23:
		f.members[rapid.IntRange(0, len(f.members)-1).Draw(f.t, "crashed")] = f.newMember()
	case action < 24:
		f.changeOwner()
	case changing && action < 25:
		f.set(drawBucket(f.t))
	case changing:
		f.owner.SetBuckets(f.now(), nil) // until it is published again, the bound of the old setting holds
	}
}

// allowed returns the most tokens that may be used from the start to the end, both included: the largest burst in
// force at the start or while grants of an older setting may be open there, and the rates since.
func (f *fleet) allowed(start, end time.Duration) float64 {
	lookBack := start - longestLife
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

func (f *fleet) check() {
	for i, start := range f.uses {
		for j := i; j < len(f.uses); j++ {
			if used, allowed := float64(j-i+1), f.allowed(start, f.uses[j]); used > allowed+1e-6 {
				f.t.Fatalf("%v tokens used from %v to %v, at most %v allowed by %+v", used, start, f.uses[j], allowed, f.settings)
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
	f.check()
}

func TestUseInEveryWindowIsWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runFleet(t, false) })
}

func TestUseInEveryWindowWhileLimitsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runFleet(t, true) })
}

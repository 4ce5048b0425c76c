package limit_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"sapphirespread.example/limit"
)

const (
	linkedStep      = 2 * time.Millisecond
	linkedFlush     = 10 * time.Millisecond  // between two messages of a holder with returns and grant requests
	linkedPoll      = 6 * time.Millisecond   // between two polls of the owner
	linkedHeartbeat = 500 * time.Millisecond // between two lists of the pressed workspaces
	linkedWait      = 150 * time.Millisecond // of a request for a token
	linkedElection  = 1100 * time.Millisecond
	linkedName      = "club"
)

// linkedFleet simulates one workspace at holders that reach a living owner over links of their own. Messages of a link
// arrive in order.
type linkedFleet struct {
	bucket  limit.Bucket
	holders int
	length  time.Duration
	// demand returns the requests per second of all holders.
	demand func(elapsed time.Duration) float64
	// delay returns how long a message takes that a holder's link carries now.
	delay func(random *rand.Rand, elapsed time.Duration, holder int) time.Duration
	// cut reports whether a holder's link loses what it carries.
	cut func(elapsed time.Duration, holder int) bool
	// lostAt is when the owner is lost, or zero. Another one starts after linkedElection.
	lostAt time.Duration

	random *rand.Rand
	start  time.Time
	now    time.Time
	owner  *limit.Owner
	fleet  []*linkedHolder
	spent  []time.Duration
}

type linkedHolder struct {
	*limit.Holder
	index    int
	waiting  []time.Time // when the wait of each request ends
	toOwner  linkedQueue
	toHolder linkedQueue
}

// linkedQueue holds the messages of one direction of a link.
type linkedQueue struct {
	messages []linkedMessage
	last     time.Time
}

type linkedMessage struct {
	at      time.Time
	deliver func()
}

func (f *linkedFleet) elapsed() time.Duration { return f.now.Sub(f.start) }

func (f *linkedFleet) send(h *linkedHolder, q *linkedQueue, deliver func()) {
	lost := f.lostAt > 0 && f.elapsed() >= f.lostAt && f.elapsed() < f.lostAt+linkedElection
	if lost || f.cut(f.elapsed(), h.index) {
		return
	}
	at := f.now.Add(f.delay(f.random, f.elapsed(), h.index))
	if at.Before(q.last) {
		at = q.last
	}
	q.last = at
	q.messages = append(q.messages, linkedMessage{at, deliver})
}

func (f *linkedFleet) deliver(q *linkedQueue) {
	for len(q.messages) > 0 && !q.messages[0].at.After(f.now) {
		message := q.messages[0]
		q.messages = q.messages[1:]
		message.deliver()
	}
}

// run returns the largest number of tokens spent within one window.
func (f *linkedFleet) run(seed uint64, window time.Duration) int {
	f.random = rand.New(rand.NewPCG(seed, 1))
	f.start = time.Unix(1_700_000_000, 0)
	f.now = f.start
	f.spent = nil
	f.owner = limit.NewOwner(f.start)
	f.owner.SetBuckets(f.start, []limit.NamedBucket{{Workspace: linkedName, Bucket: f.bucket}})
	f.fleet = nil
	for i := range f.holders {
		f.fleet = append(f.fleet, &linkedHolder{Holder: limit.NewHolder(limit.WithFallbackSpending(2 * time.Second)), index: i})
	}
	for ; f.elapsed() < f.length; f.now = f.now.Add(linkedStep) {
		if f.lostAt > 0 && f.elapsed() == f.lostAt+linkedElection {
			f.replaceOwner()
		}
		f.stepOwner()
		for _, h := range f.fleet {
			f.stepHolder(h)
		}
	}
	most, first := 0, 0
	for i := range f.spent {
		for f.spent[i]-f.spent[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// spentSince returns how many tokens were spent from a time on.
func (f *linkedFleet) spentSince(start time.Duration) int {
	first, _ := slices.BinarySearch(f.spent, start)
	return len(f.spent) - first
}

func (f *linkedFleet) replaceOwner() {
	f.owner = limit.NewOwner(f.now, limit.WithOwnerStart(limit.HoldOff(limit.DefaultGrantDuration, limit.DefaultClockRateMargin)))
	f.owner.SetBuckets(f.now, []limit.NamedBucket{{Workspace: linkedName, Bucket: f.bucket}})
	for _, h := range f.fleet {
		h.toOwner, h.toHolder = linkedQueue{}, linkedQueue{}
		h.Disconnect(f.now)
	}
}

func (f *linkedFleet) stepOwner() {
	for _, h := range f.fleet {
		f.deliver(&h.toOwner)
	}
	if f.elapsed()%linkedPoll == 0 {
		for _, answer := range f.owner.Poll(f.now) {
			if i, err := strconv.Atoi(answer.Holder); err == nil {
				f.sendGrant(f.fleet[i], answer.Grant)
			}
		}
	}
	if f.elapsed()%linkedHeartbeat == 0 {
		pressed := f.owner.Pressed(f.now)
		for _, h := range f.fleet {
			f.send(h, &h.toHolder, func() { h.SetPressed(pressed) })
		}
	}
}

func (f *linkedFleet) sendGrant(h *linkedHolder, grant limit.Grant) {
	f.send(h, &h.toHolder, func() {
		if h.Accept(f.now, grant) {
			for len(h.waiting) > 0 && h.Spend(f.now, linkedName, 1) {
				f.spent = append(f.spent, f.elapsed())
				h.waiting = h.waiting[1:]
				h.Unwait(linkedName)
			}
		}
	})
}

func (f *linkedFleet) stepHolder(h *linkedHolder) {
	f.deliver(&h.toHolder)
	for len(h.waiting) > 0 && !f.now.Before(h.waiting[0]) {
		h.waiting = h.waiting[1:]
		h.Unwait(linkedName)
		if h.Spend(f.now, linkedName, 1) {
			f.spent = append(f.spent, f.elapsed())
		}
	}
	if f.random.Float64() < f.demand(f.elapsed())/float64(f.holders)*linkedStep.Seconds() {
		if len(h.waiting) == 0 && h.Spend(f.now, linkedName, 1) {
			f.spent = append(f.spent, f.elapsed())
		} else {
			h.Wait(f.now, linkedName)
			h.waiting = append(h.waiting, f.now.Add(linkedWait))
		}
	}
	if f.elapsed()%linkedFlush == 0 {
		f.flush(h)
	}
}

// flush sends returns and grant requests to the owner, which answers the requests or tells that it queues them.
func (f *linkedFleet) flush(h *linkedHolder) {
	returns, spending, requests := h.CollectReturns(f.now), h.CollectFallbackSpending(f.now), h.GrantRequests(f.now)
	if len(returns)+len(spending)+len(requests) == 0 {
		return
	}
	f.send(h, &h.toOwner, func() {
		name := strconv.Itoa(h.index)
		for _, s := range spending {
			f.owner.ChargeFallbackSpending(f.now, name, s)
		}
		for _, r := range returns {
			f.owner.Return(f.now, name, r)
		}
		for _, request := range requests {
			if grant, answered := f.owner.Request(f.now, name, request); answered {
				f.sendGrant(h, grant)
			} else if f.owner.HoldOffOver(f.now) {
				f.send(h, &h.toHolder, func() { h.RecordHeartbeat(f.now) })
			}
		}
	})
}

// TestSlowLinksDoNotRaiseALimit guards against a workspace that gets more than its limit while the owner lives: holders
// whose answers are late spend without them. The workspace asks for four times its rate. The bound is the quota of the
// first users' platform: rate and burst with a tenth more, and 20 requests.
func TestSlowLinksDoNotRaiseALimit(t *testing.T) {
	const (
		holders, rate, burst = 18, 528.0, 528
		surgeAt, length      = 4 * time.Second, 14 * time.Second
		window               = 5 * time.Second
		quota                = 1.1*(rate*5+burst) + 20
		fast                 = 2 * time.Millisecond
	)
	inSurge := func(elapsed time.Duration) bool { return elapsed >= surgeAt-time.Second }
	// slow returns links of which one of every takes a time up to twice delay for a share of its messages.
	slow := func(every int, share float64, delay time.Duration) func(*rand.Rand, time.Duration, int) time.Duration {
		return func(random *rand.Rand, elapsed time.Duration, holder int) time.Duration {
			if inSurge(elapsed) && holder%every == 0 && random.Float64() < share {
				return delay + time.Duration(random.Int64N(int64(delay)))
			}
			return fast
		}
	}
	never := func(time.Duration, int) bool { return false }
	cutEach := func(every int) func(time.Duration, int) bool {
		return func(elapsed time.Duration, holder int) bool { return elapsed >= surgeAt && holder%every == 0 }
	}
	for _, c := range []struct {
		name  string
		delay func(*rand.Rand, time.Duration, int) time.Duration
		cut   func(time.Duration, int) bool
		lost  time.Duration
		// least is the share of the rate that is served in the surge at least. Grants run out on very slow links.
		least float64
	}{
		{"fast links", slow(1, 0, fast), never, 0, 0.9},
		{"a third of the links are slow", slow(3, 1, 50*time.Millisecond), never, 0, 0.9},
		{"a third of the links are very slow", slow(3, 1, 200*time.Millisecond), never, 0, 0.9},
		{"all links are slow", slow(1, 1, 50*time.Millisecond), never, 0, 0.9},
		{"all links are very slow", slow(1, 1, 200*time.Millisecond), never, 0, 0},
		{"a third of the links lose packets", slow(3, 1./40, 200*time.Millisecond), never, 0, 0.9},
		{"all links lose packets", slow(1, 1./40, 200*time.Millisecond), never, 0, 0.9},
		{"a third of the links are cut", slow(1, 0, fast), cutEach(3), 0, 0.9},
		{"half of the links are cut", slow(1, 0, fast), cutEach(2), 0, 0.9},
		{"the owner is lost early", slow(1, 0, fast), never, surgeAt + 500*time.Millisecond, 0.8},
		{"the owner is lost late", slow(1, 0, fast), never, surgeAt + 3*time.Second, 0.8},
		{"the owner is lost behind slow links", slow(3, 1, 50*time.Millisecond), never, surgeAt + 500*time.Millisecond, 0.8},
		{"the owner is lost behind links that lose packets", slow(1, 1./40, 200*time.Millisecond), never, surgeAt + 2*time.Second, 0.8},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				f := linkedFleet{
					bucket: limit.Bucket{Rate: rate, Burst: burst}, holders: holders, length: length, delay: c.delay, cut: c.cut, lostAt: c.lost,
					demand: func(elapsed time.Duration) float64 {
						if elapsed < surgeAt {
							return 0.6 * rate
						}
						return 4 * rate
					},
				}
				if most := f.run(seed, window); float64(most) > quota {
					t.Errorf("seed %d: %d tokens spent within %s, want at most %.0f", seed, most, window, quota)
				}
				if spent, least := f.spentSince(surgeAt), c.least*rate*(length-surgeAt).Seconds(); float64(spent) < least {
					t.Errorf("seed %d: %d tokens spent in the surge, want at least %.0f", seed, spent, least)
				}
			}
		})
	}
}

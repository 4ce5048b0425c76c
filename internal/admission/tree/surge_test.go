package tree_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sapphirespread.example/internal/admission/room"
	"sapphirespread.example/internal/admission/tree"
	"sapphirespread.example/priority"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	scarce  = "visits"
	oneWay  = 2 * time.Millisecond
	slots   = 105
	targets = 3
	entries = 59
	relays  = 6
	surge   = 1.6
	warmUp  = 2 * time.Second
)

// kind is a root request that makes rounds of calls to the scarce service at once, each round after the work above it.
type kind struct {
	callee        priority.Callee
	level         int
	rate          float64 // a second
	above         time.Duration
	rounds, calls int
	slotTime      time.Duration
	deadline      time.Duration
}

func (k *kind) work() time.Duration { return time.Duration(k.rounds*k.calls) * k.slotTime }

func studioLoad() []kind {
	return []kind{
		{priority.Callee{Service: scarce, Route: "visit-history"}, 0, 311, 0, 1, 1, 36 * time.Millisecond, 800 * time.Millisecond},
		{priority.Callee{Service: "timetable", Route: "timetable-read"}, 1, 1365, 120 * time.Millisecond, 1, 4, 23 * time.Millisecond, 5 * time.Second},
		{priority.Callee{Service: "bookings", Route: "class-join"}, 2, 527, 75 * time.Millisecond, 2, 4, 23 * time.Millisecond, 5 * time.Second},
	}
}

// tally counts the roots of one kind and workspace after the warm-up.
type tally struct{ offered, held, served, failed int }

// studio plays roots against admissions of the scarce service, with a gate at each entry and at each relay between.
type studio struct {
	duration time.Duration // of the offers
	now      time.Duration
	random   *rand.Rand
	events   events
	kinds    []kind
	gates    []*tree.Gate
	relays   []*tree.Gate
	targets  []*backend
	waiting  map[uint64]func(admitted bool)
	ids      uint64
	open     bool // entries don't ask their gates
	tallies  map[[2]int]*tally
	wasted   time.Duration // of all work, above and in the scarce service
	done     time.Duration
	breaches int // roots that began while the same entry refused a more important one
}

// backend is a target whose server runs as many calls at once as it has slots.
type backend struct {
	*priority.Admission
	free    int
	pending []func()
}

// take runs run in a free slot.
func (b *backend) take(run func()) {
	if b.free == 0 {
		b.pending = append(b.pending, run)
		return
	}
	b.free--
	run()
}

func (b *backend) release() {
	b.free++
	if len(b.pending) > 0 {
		run := b.pending[0]
		b.pending = b.pending[1:]
		b.take(run)
	}
}

type event struct {
	at  time.Duration
	run func()
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newStudio(seed uint64, duration time.Duration) *studio {
	s := &studio{duration: duration, random: rand.New(rand.NewPCG(seed, 1)), kinds: studioLoad(), waiting: make(map[uint64]func(bool)), tallies: make(map[[2]int]*tally)}
	for range entries {
		s.gates = append(s.gates, tree.NewGate())
	}
	for range relays {
		s.relays = append(s.relays, tree.NewGate())
	}
	for range targets {
		admission := priority.NewAdmission(priority.WithSlots(slots), priority.WithTreeDemand(), priority.WithBegunFirst())
		s.targets = append(s.targets, &backend{Admission: admission, free: slots})
	}
	return s
}

func (s *studio) at() time.Time { return start.Add(s.now) }

func (s *studio) after(d time.Duration, run func()) { heap.Push(&s.events, event{s.now + d, run}) }

// play offers workspaces roots of each kind, the first ones more than the last, and ticks the admissions.
func (s *studio) play(workspaces int) {
	for k := range s.kinds {
		s.arrive(k, workspaces)
	}
	s.tick()
	for len(s.events) > 0 && s.now < s.duration+time.Second {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (s *studio) tick() {
	for _, t := range s.targets {
		s.deliver(t.Tick(s.at()))
	}
	s.after(10*time.Millisecond, s.tick)
}

func (s *studio) arrive(k, workspaces int) {
	if s.now > s.duration {
		return
	}
	s.begin(k, int(float64(workspaces)*s.random.Float64()*s.random.Float64()))
	s.after(time.Duration(s.random.ExpFloat64()/(s.kinds[k].rate*surge)*float64(time.Second)), func() { s.arrive(k, workspaces) })
}

// root is a root request that has begun, or is refused at its entry.
type root struct {
	kind    *kind
	tally   *tally
	gate    *tree.Gate
	relay   *tree.Gate
	origin  priority.Origin
	share   float64
	began   time.Duration
	round   int
	left    int
	failed  bool
	work    time.Duration
	counted bool
}

func (s *studio) begin(k, workspace int) {
	counts := s.tallies[[2]int{k, workspace}]
	if counts == nil {
		counts = &tally{}
		s.tallies[[2]int{k, workspace}] = counts
	}
	kind := &s.kinds[k]
	r := &root{kind: kind, tally: counts, gate: s.gates[s.random.IntN(entries)], relay: s.relays[s.random.IntN(relays)], began: s.now, counted: s.now > warmUp}
	r.origin = priority.Origin{Priority: priority.Rank(kind.level, kind.level), Workspace: fmt.Sprint("w", workspace), RootHash: s.random.Uint64()}
	r.count(&r.tally.offered)
	if !s.open {
		decision := r.gate.Decide(s.at(), kind.callee, r.origin)
		r.share = decision.Shed
		if decision.Refused {
			s.checkOrder(r)
			r.count(&r.tally.held)
			return
		}
	}
	s.nextRound(r)
}

// checkOrder counts a breach if the entry that has refused r would let a less important root begin.
func (s *studio) checkOrder(r *root) {
	for i := range s.kinds {
		lower := r.origin
		lower.Priority = priority.Rank(s.kinds[i].level, s.kinds[i].level)
		if lower.Priority > r.origin.Priority && len(r.gate.Reports(s.at(), s.kinds[i].callee)) > 0 &&
			!r.gate.Decide(s.at(), s.kinds[i].callee, lower).Refused {
			s.breaches++
		}
	}
}

func (r *root) count(n *int) {
	if r.counted {
		*n++
	}
}

func (s *studio) nextRound(r *root) {
	r.work += r.kind.above
	s.after(r.kind.above+2*oneWay, func() {
		r.left = r.kind.calls
		for range r.kind.calls {
			s.call(r)
		}
	})
}

// call offers one call of r to the less loaded of two targets.
func (s *studio) call(r *root) {
	t := s.random.IntN(targets)
	if other := s.random.IntN(targets); s.targets[other].Stats(s.at()).Waiting < s.targets[t].Stats(s.at()).Waiting {
		t = other
	}
	s.ids++
	id, backend := s.ids, s.targets[t]
	s.waiting[id] = func(admitted bool) {
		if !admitted {
			s.ended(r, t, false)
			return
		}
		slotTime := time.Duration(float64(r.kind.slotTime) * (0.7 + 0.6*s.random.Float64()))
		admittedAt := s.now
		backend.take(func() {
			s.after(slotTime, func() {
				r.work += slotTime
				backend.release()
				s.deliver(backend.Done(s.at(), id, priority.Result{Latency: s.now - admittedAt}))
				s.ended(r, t, true)
			})
		})
	}
	s.deliver(backend.Offer(s.at(), priority.Request{
		ID: id, RootHash: r.origin.RootHash, Priority: r.origin.Priority, Workspace: r.origin.Workspace, Route: r.kind.callee.Route, Share: 1,
		Deadline: start.Add(r.began + r.kind.deadline), Shed: r.share, Nested: r.kind.above > 0,
	}))
}

func (s *studio) deliver(verdicts []priority.Verdict) {
	for _, v := range verdicts {
		if run := s.waiting[v.ID]; run != nil {
			delete(s.waiting, v.ID)
			run(v.Admitted)
		}
	}
}

// ended takes the end of one call of r at target t, with its report.
func (s *studio) ended(r *root, t int, well bool) {
	report := room.NewReport(s.at(), scarce, fmt.Sprint(t), s.targets[t].Level(s.at()), 0)
	r.failed = r.failed || !well
	r.left--
	s.after(oneWay, func() {
		if r.kind.above == 0 {
			r.gate.Record(s.at(), report)
		} else {
			r.relay.Record(s.at(), report)
		}
		if r.left == 0 {
			r.left--
			s.endRound(r)
		}
	})
}

func (s *studio) endRound(r *root) {
	r.round++
	if r.round < r.kind.rounds && !r.failed {
		s.nextRound(r)
		return
	}
	callee := priority.Callee{Service: "media", Route: "media-index"}
	costs := []tree.Cost{{Service: scarce, Calls: float64(r.kind.rounds * r.kind.calls), SlotTime: r.work - time.Duration(r.kind.rounds)*r.kind.above}}
	if !r.failed {
		r.relay.Observe(callee, costs)
		r.gate.Observe(r.kind.callee, costs)
	}
	for _, below := range r.relay.Reports(s.at(), callee) {
		r.gate.Record(s.at(), below)
	}
	if !r.counted {
		return
	}
	s.done += r.work
	if r.failed || s.now-r.began > r.kind.deadline {
		r.tally.failed++
		s.wasted += r.work
		return
	}
	r.tally.served++
}

func (s *studio) total(k int) tally {
	var sum tally
	for key, t := range s.tallies {
		if key[0] == k {
			sum.offered, sum.held, sum.served, sum.failed = sum.offered+t.offered, sum.held+t.held, sum.served+t.served, sum.failed+t.failed
		}
	}
	return sum
}

// bestPossible returns the scarce service's work for whole roots when the most important are served first.
func (s *studio) bestPossible() (work float64, served []float64) {
	left := targets * slots * (s.duration - warmUp).Seconds()
	for k := range s.kinds {
		each := s.kinds[k].work().Seconds()
		n := min(float64(s.total(k).offered), left/each)
		served = append(served, n)
		left -= n * each
		work += n * each
	}
	return work, served
}

// TestScarceCalleeServesTheMostImportantRootsWhole plays a surge of callers whose trees ask 374 slot-seconds a second of a
// service with 315: the important ones are served, and next to nothing is spent on roots that then fail.
func TestScarceCalleeServesTheMostImportantRootsWhole(t *testing.T) {
	for seed := range uint64(3) {
		s := newStudio(seed, 8*time.Second)
		s.play(20)
		best, bestServed := s.bestPossible()
		served := 0.0
		for k := range s.kinds {
			total := s.total(k)
			served += float64(total.served) * s.kinds[k].work().Seconds()
			t.Logf("%s: %+v, best %.0f", s.kinds[k].callee.Route, total, bestServed[k])
			if k < 2 && float64(total.served) < 0.97*bestServed[k] {
				t.Errorf("seed %d: %d of %.0f %s were served", seed, total.served, bestServed[k], s.kinds[k].callee.Route)
			}
		}
		if served < 0.9*best {
			t.Errorf("seed %d: %.3f of the best possible work was served", seed, served/best)
		}
		if wasted := s.wasted.Seconds() / s.done.Seconds(); wasted > 0.1 {
			t.Errorf("seed %d: %.3f of the work was wasted", seed, wasted)
		}
		if s.breaches > 0 {
			t.Errorf("seed %d: %d roots could begin while a more important one was refused", seed, s.breaches)
		}
		t.Logf("seed %d: served %.3f of the best, wasted %.3f", seed, served/best, s.wasted.Seconds()/s.done.Seconds())
	}
}

// TestSurgeIsDividedFairly checks that no workspace within or beyond its fair part gets less than 0.9 of it.
func TestSurgeIsDividedFairly(t *testing.T) {
	const workspaces = 12
	s := newStudio(7, 32*time.Second) // about 2,000 roots a workspace, so that chance makes up a few percent
	s.play(workspaces)
	const cut = 2 // the kind that is served in part
	_, bestServed := s.bestPossible()
	offered := make([]float64, workspaces)
	for w := range offered {
		offered[w] = float64(s.tallies[[2]int{cut, w}].offered)
	}
	fair := fairParts(offered, bestServed[cut])
	for w := range offered {
		served := float64(s.tallies[[2]int{cut, w}].served)
		t.Logf("workspace %d: offered %.0f, served %.0f, fair %.0f", w, offered[w], served, fair[w])
		if served < 0.9*fair[w] {
			t.Errorf("workspace %d: served %.0f of %.0f offered, fair are %.0f", w, served, offered[w], fair[w])
		}
	}
}

// fairParts divides n max-min fairly among demands.
func fairParts(demands []float64, n float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return int(demands[a] - demands[b]) })
	parts := make([]float64, len(demands))
	for i, w := range order {
		parts[w] = min(demands[w], n/float64(len(demands)-i))
		n -= parts[w]
	}
	return parts
}

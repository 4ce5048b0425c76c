package priority_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/priority"
	"sapphirespread.example/refusal"
)

// model mirrors what an Admission owes: one verdict for each request, in the order of priority.
type model struct {
	t         *rapid.T
	admission *priority.Admission
	now       time.Time
	waiting   map[uint64]priority.Request
	running   []uint64
}

func (m *model) meets(r priority.Request) bool {
	return !m.now.Add(m.admission.ServiceTime(m.now, r.Route)).After(r.Deadline)
}

func (m *model) take(verdicts []priority.Verdict) {
	requests := make(map[uint64]priority.Request)
	for _, v := range verdicts {
		r, waits := m.waiting[v.ID]
		if !waits {
			m.t.Fatalf("a second verdict, or one for nothing: %+v", v)
		}
		requests[v.ID] = r
		delete(m.waiting, v.ID)
	}
	for _, v := range verdicts {
		m.check(v, requests[v.ID], verdicts, requests)
	}
}

func (m *model) check(v priority.Verdict, r priority.Request, verdicts []priority.Verdict, requests map[uint64]priority.Request) {
	switch {
	case v.Admitted:
		m.running = append(m.running, v.ID)
		for _, w := range m.waiting {
			if w.Priority < r.Priority && m.meets(w) {
				m.t.Fatalf("%+v admitted while %+v waits", r, w)
			}
		}
	case v.Kind == refusal.DeadlineUnreachable:
		if m.meets(r) {
			m.t.Fatalf("%+v dropped although it could meet its deadline", r)
		}
	case v.Kind == refusal.Overloaded && m.meets(r):
		for _, w := range m.waiting {
			if w.Priority > r.Priority {
				m.t.Fatalf("%+v shed while %+v waits", r, w)
			}
		}
		for _, other := range verdicts {
			if other.Admitted && requests[other.ID].Priority > r.Priority {
				m.t.Fatalf("%+v shed and %+v admitted in its place", r, requests[other.ID])
			}
		}
	}
}

func (m *model) step(id uint64) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(m.t, "us")) * time.Microsecond)
	switch op := rapid.IntRange(0, 9).Draw(m.t, "op"); {
	case op < 6:
		r := priority.Request{
			ID: id, WholeHash: rapid.Uint64().Draw(m.t, "hash"), Priority: rapid.IntRange(0, 3).Draw(m.t, "priority"),
			Route:     rapid.SampledFrom([]string{"x", "y"}).Draw(m.t, "route"),
			Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "workspace"), Share: 1,
			Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(m.t, "deadline")) * time.Millisecond),
			Nested:   rapid.Bool().Draw(m.t, "nested"),
		}
		m.waiting[id] = r
		m.take(m.admission.Offer(m.now, r))
	case op < 8 && len(m.running) > 0:
		done := m.running[0]
		m.running = m.running[1:]
		latency := time.Duration(rapid.IntRange(1, 100).Draw(m.t, "latency")) * time.Millisecond
		m.take(m.admission.Done(m.now, done, priority.Result{Latency: latency, Failed: rapid.Bool().Draw(m.t, "failed")}))
	case op == 8:
		gone := rapid.Uint64Range(1, id).Draw(m.t, "gone")
		if _, waits := m.waiting[gone]; waits {
			delete(m.waiting, gone)
			m.take(m.admission.Cancel(m.now, gone))
		}
	default:
		m.take(m.admission.Tick(m.now))
	}
}

// TestImportantRequestsAreShedLast checks that no request that could still meet its deadline is shed while
// one of lower priority waits or is admitted in its place, and that each gets one verdict.
func TestImportantRequestsAreShedLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: start, waiting: make(map[uint64]priority.Request),
			admission: priority.NewAdmission(
				priority.WithSlots(rapid.IntRange(1, 8).Draw(t, "slots")),
				priority.WithQueueBound(rapid.IntRange(1, 8).Draw(t, "bound"))),
		}
		steps := rapid.IntRange(1, 150).Draw(t, "steps")
		for i := range steps {
			m.step(uint64(i + 1))
			stats := m.admission.Stats(m.now)
			if stats.Waiting != len(m.waiting) || stats.Running != len(m.running) || stats.Limit < 2 {
				t.Fatalf("stats %+v, want %d waiting and %d running", stats, len(m.waiting), len(m.running))
			}
		}
	})
}

// TestLevelsNest checks that a whole request that one level sheds is shed by every stricter one.
func TestLevelsNest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hash := rapid.Uint64().Draw(t, "hash")
		p := rapid.IntRange(0, 4).Draw(t, "priority")
		low, high := rapid.Float64Range(0, 1).Draw(t, "low"), rapid.Float64Range(0, 1).Draw(t, "high")
		lax := priority.Level{Priority: 2, Share: min(low, high), ValidUntil: start.Add(time.Second)}
		strict := lax
		strict.Share = max(low, high)
		origin := func(p int) priority.Origin { return priority.Origin{Priority: p, Workspace: "a", WholeHash: hash} }
		if lax.Sheds(start, origin(p)) && !strict.Sheds(start, origin(p)) {
			t.Fatal("a stricter level lets through what a laxer one sheds")
		}
		if p < 2 && strict.Sheds(start, origin(p)) || p > 2 && !lax.Sheds(start, origin(p)) {
			t.Fatal("a level sheds by priority first")
		}
		if strict.Sheds(start.Add(time.Second), origin(p)) {
			t.Fatal("a level outlives its validity")
		}
	})
}

func offer(a *priority.Admission, now time.Time, id uint64, workspace string) []priority.Verdict {
	return a.Offer(now, priority.Request{ID: id, Workspace: workspace, Share: 1, Deadline: now.Add(time.Minute)})
}

// TestNewestFirstUnderOverload checks the order within one workspace before and after a standing queue.
func TestNewestFirstUnderOverload(t *testing.T) {
	for _, c := range []struct {
		lag  time.Duration
		want uint64
	}{{10 * time.Millisecond, 10}, {time.Second, 12}} {
		a := priority.NewAdmission(priority.WithSlots(1))
		for id := range uint64(2) {
			offer(a, start, id+1, "a")
		}
		for id := range uint64(3) {
			offer(a, start, id+10, "a")
		}
		got := a.Done(start.Add(c.lag), 1, priority.Result{Latency: time.Millisecond, Failed: true})
		if fmt.Sprint(got) != fmt.Sprint([]priority.Verdict{{ID: c.want, Admitted: true}}) {
			t.Errorf("after %s: %+v, want %d admitted", c.lag, got, c.want)
		}
	}
}

// TestRoutesHaveTheirOwnServiceTime checks that a short request isn't dropped because another route is slow,
// and that one of the slow route is dropped once 13 of its last 16 runs were slow.
func TestRoutesHaveTheirOwnServiceTime(t *testing.T) {
	a := priority.NewAdmission(priority.WithSlots(8))
	run := func(id uint64, route string, latency time.Duration) []priority.Verdict {
		now := start.Add(time.Duration(id) * 10 * time.Millisecond)
		v := a.Offer(now, priority.Request{ID: id, Route: route, Share: 1, Deadline: now.Add(100 * time.Millisecond)})
		a.Done(now, id, priority.Result{Latency: latency})
		return v
	}
	for id := range uint64(10) {
		run(2*id, "wind", 5*time.Millisecond)
		run(2*id+1, "archive", 50*time.Millisecond)
	}
	for id := range uint64(13) {
		run(100+id, "archive", 500*time.Millisecond)
	}
	if v := run(200, "wind", 5*time.Millisecond); !v[0].Admitted {
		t.Errorf("a short request got %+v", v)
	}
	if v := run(201, "archive", 500*time.Millisecond); v[0].Kind != refusal.DeadlineUnreachable {
		t.Errorf("a request that takes five times its deadline got %+v", v)
	}
}

// TestNestedRequestsWaitLess checks that a nested request leaves the queue after two service times, that what is
// less important leaves with it, and that others wait on.
func TestNestedRequestsWaitLess(t *testing.T) {
	a := priority.NewAdmission(priority.WithSlots(1))
	offered := func(now time.Time, id uint64, p int, nested bool) {
		a.Offer(now, priority.Request{ID: id, Priority: p, Share: 1, Deadline: now.Add(time.Minute), Nested: nested})
	}
	for id := range uint64(2) {
		offered(start, 100+id, 0, false)
		a.Done(start, 100+id, priority.Result{Latency: 50 * time.Millisecond})
	}
	for id := range uint64(2) {
		offered(start, id, 1, false)
	}
	offered(start, 10, 1, true)
	offered(start, 11, 1, false)
	offered(start, 12, 2, false)
	if v := a.Tick(start.Add(100 * time.Millisecond)); len(v) != 0 {
		t.Fatalf("after two service times: %+v", v)
	}
	left := make(map[uint64]refusal.Kind)
	for _, v := range a.Tick(start.Add(101 * time.Millisecond)) {
		left[v.ID] = v.Kind
	}
	if len(left) != 2 || left[10] != refusal.Overloaded || left[12] != refusal.Overloaded {
		t.Errorf("left the queue: %v, want 10 and 12", left)
	}
}

// TestTickIsDueAtABusyTarget asks for the next tick after each of many offers and ends, as a busy target does: it stays due at the
// time that was said first, and is set anew by Tick, or once nothing has waited.
func TestTickIsDueAtABusyTarget(t *testing.T) {
	const within = 20 * time.Millisecond
	a := priority.NewAdmission(priority.WithSlots(1))
	offer := func(now time.Time, id uint64) {
		a.Offer(now, priority.Request{ID: id, Share: 1, Deadline: now.Add(time.Minute)})
	}
	offer(start, 1)
	if due := a.NextTick(start); !due.IsZero() {
		t.Errorf("due at %s with nothing waiting", due)
	}
	for id := range uint64(5) {
		offer(start, 2+id)
	}
	first := a.NextTick(start)
	for id := range uint64(50) {
		now := start.Add(time.Duration(id) * time.Millisecond)
		offer(now, 10+id)
		if due := a.NextTick(now); !due.Equal(first) || due.Sub(start) > within {
			t.Fatalf("after %s due at %s, said first %s", now.Sub(start), due, first)
		}
	}
	a.Tick(first)
	if due := a.NextTick(first); !due.After(first) || due.Sub(first) > within {
		t.Errorf("after the tick at %s due at %s", first, due)
	}
}

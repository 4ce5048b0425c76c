package priority_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/priority"
	"sapphirespread.example/refusal"
)

// admissionModel checks an Admission against its contract: exactly one verdict per request, in order of
// priority.
type admissionModel struct {
	t         *rapid.T
	admission *priority.Admission
	now       time.Time
	waiting   map[uint64]priority.Request
	running   []uint64
}

func (m *admissionModel) meetsDeadline(r priority.Request) bool {
	return !m.now.Add(m.admission.ServiceTime(m.now, r.Route)).After(r.Deadline)
}

func (m *admissionModel) checkVerdicts(verdicts []priority.Verdict) {
	requests := make(map[uint64]priority.Request)
	for _, v := range verdicts {
		r, waits := m.waiting[v.ID]
		if !waits {
			m.t.Fatalf("second verdict, or verdict on an unknown request: %+v", v)
		}
		requests[v.ID] = r
		delete(m.waiting, v.ID)
	}
	for _, v := range verdicts {
		m.checkVerdict(v, requests[v.ID], verdicts, requests)
	}
}

func (m *admissionModel) checkVerdict(v priority.Verdict, r priority.Request, verdicts []priority.Verdict, requests map[uint64]priority.Request) {
	switch {
	case v.Admitted:
		m.running = append(m.running, v.ID)
		for _, w := range m.waiting {
			if w.Priority < r.Priority && m.meetsDeadline(w) {
				m.t.Fatalf("%+v admitted while %+v waits", r, w)
			}
		}
	case v.Kind == refusal.DeadlineUnreachable:
		if m.meetsDeadline(r) {
			m.t.Fatalf("%+v dropped although it could meet its deadline", r)
		}
	case v.Kind == refusal.Overloaded && m.meetsDeadline(r):
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

func (m *admissionModel) step(id uint64) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(m.t, "us")) * time.Microsecond)
	switch op := rapid.IntRange(0, 9).Draw(m.t, "op"); {
	case op < 6:
		r := priority.Request{
			ID: id, RootHash: rapid.Uint64().Draw(m.t, "hash"), Priority: rapid.IntRange(0, 3).Draw(m.t, "priority"),
			Route:     rapid.SampledFrom([]string{"x", "y"}).Draw(m.t, "route"),
			Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "workspace"), Share: 1,
			Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(m.t, "deadline")) * time.Millisecond),
			Nested:   rapid.Bool().Draw(m.t, "nested"),
		}
		m.waiting[id] = r
		m.checkVerdicts(m.admission.Offer(m.now, r))
	case op < 8 && len(m.running) > 0:
		done := m.running[0]
		m.running = m.running[1:]
		latency := time.Duration(rapid.IntRange(1, 100).Draw(m.t, "latency")) * time.Millisecond
		m.checkVerdicts(m.admission.Done(m.now, done, priority.Result{Latency: latency, Failed: rapid.Bool().Draw(m.t, "failed")}))
	case op == 8:
		cancelled := rapid.Uint64Range(1, id).Draw(m.t, "gone")
		if _, waits := m.waiting[cancelled]; waits {
			delete(m.waiting, cancelled)
			m.checkVerdicts(m.admission.Cancel(m.now, cancelled))
		}
	default:
		m.checkVerdicts(m.admission.Tick(m.now))
	}
}

// TestImportantRequestsAreShedLast checks that no request that can still meet its deadline is shed while a
// less important one waits or is admitted in its place, and that each request gets one verdict.
func TestImportantRequestsAreShedLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &admissionModel{
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

// TestLevelsNest checks that a root request shed by one level is also shed by every stricter level.
func TestLevelsNest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hash := rapid.Uint64().Draw(t, "hash")
		p := rapid.IntRange(0, 4).Draw(t, "priority")
		low, high := rapid.Float64Range(0, 1).Draw(t, "low"), rapid.Float64Range(0, 1).Draw(t, "high")
		lax := priority.Level{Priority: 2, Share: min(low, high), ValidUntil: start.Add(time.Second)}
		strict := lax
		strict.Share = max(low, high)
		origin := func(p int) priority.Origin { return priority.Origin{Priority: p, Workspace: "a", RootHash: hash} }
		if lax.Sheds(start, origin(p)) && !strict.Sheds(start, origin(p)) {
			t.Fatal("a stricter level admits a request that a less strict one sheds")
		}
		if p < 2 && strict.Sheds(start, origin(p)) || p > 2 && !lax.Sheds(start, origin(p)) {
			t.Fatal("a level must shed all less important requests and no more important ones")
		}
		if strict.Sheds(start.Add(time.Second), origin(p)) {
			t.Fatal("a level sheds requests after its validity has ended")
		}
	})
}

func offer(a *priority.Admission, now time.Time, id uint64, workspace string) []priority.Verdict {
	return a.Offer(now, priority.Request{ID: id, Workspace: workspace, Share: 1, Deadline: now.Add(time.Minute)})
}

// TestNewestFirstUnderOverload checks that a workspace's oldest request is admitted first after a short
// queueing time, and its newest once the queue has persisted.
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

// TestRoutesHaveTheirOwnServiceTime checks that a slow route doesn't cause requests of a fast one to be
// refused, and that a request of the slow route is refused once 13 of its last 16 runs were slow.
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
		t.Errorf("request of the fast route got %+v, want it admitted", v)
	}
	if v := run(201, "archive", 500*time.Millisecond); v[0].Kind != refusal.DeadlineUnreachable {
		t.Errorf("request that takes five times its deadline got %+v, want it refused", v)
	}
}

// TestNestedRequestsWaitLess checks that a nested request is refused after waiting for two service times,
// together with less important requests, and that other requests keep waiting.
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
		t.Fatalf("got verdicts after two service times: %+v", v)
	}
	refused := make(map[uint64]refusal.Kind)
	for _, v := range a.Tick(start.Add(101 * time.Millisecond)) {
		refused[v.ID] = v.Kind
	}
	if len(refused) != 2 || refused[10] != refusal.Overloaded || refused[12] != refusal.Overloaded {
		t.Errorf("refused %v, want 10 and 12", refused)
	}
}

// TestTickIsDueAtABusyTarget asks for the next tick after each of many offers, as a busy target does. The
// tick must stay due at the time returned first, and move only after Tick has run or the queue was empty.
func TestTickIsDueAtABusyTarget(t *testing.T) {
	const maxDelay = 20 * time.Millisecond
	a := priority.NewAdmission(priority.WithSlots(1))
	offer := func(now time.Time, id uint64) {
		a.Offer(now, priority.Request{ID: id, Share: 1, Deadline: now.Add(time.Minute)})
	}
	offer(start, 1)
	if due := a.NextTick(start); !due.IsZero() {
		t.Errorf("tick is due at %s although no request waits", due)
	}
	for id := range uint64(5) {
		offer(start, 2+id)
	}
	first := a.NextTick(start)
	for id := range uint64(50) {
		now := start.Add(time.Duration(id) * time.Millisecond)
		offer(now, 10+id)
		if due := a.NextTick(now); !due.Equal(first) || due.Sub(start) > maxDelay {
			t.Fatalf("after %s the tick is due at %s, want %s as returned first", now.Sub(start), due, first)
		}
	}
	a.Tick(first)
	if due := a.NextTick(first); !due.After(first) || due.Sub(first) > maxDelay {
		t.Errorf("after the tick at %s the next one is due at %s", first, due)
	}
}

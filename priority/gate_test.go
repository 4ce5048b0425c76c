package priority_test

import (
	"math"
	"testing"
	"time"

	"sapphirespread.example/priority"
	"sapphirespread.example/refusal"
)

// countingGate lets a number of requests start, and counts what an admission tells it.
type countingGate struct {
	left, offered, started, ended int
	rate                          float64
}

func (g *countingGate) Offered(time.Time)                        { g.offered++ }
func (g *countingGate) Open(time.Time) bool                      { return g.left > 0 }
func (g *countingGate) Started(time.Time)                        { g.left--; g.started++ }
func (g *countingGate) Ended(time.Time, string, priority.Result) { g.ended++ }
func (g *countingGate) Rate(time.Time) float64                   { return g.rate }

// TestGateHoldsRequestsInTheOrderOfTheQueue checks that requests which a closed gate holds wait in the queue by priority,
// that each start is counted, and that one which waits too long is refused as not run.
func TestGateHoldsRequestsInTheOrderOfTheQueue(t *testing.T) {
	gate := &countingGate{left: 1, rate: math.Inf(1)}
	a := priority.NewAdmission(priority.WithSlots(64), priority.WithGate(gate))
	offer := func(id uint64, level int) []priority.Verdict {
		return a.Offer(start, priority.Request{ID: id, RootHash: id, Priority: level, Share: 1, Deadline: start.Add(time.Second)})
	}
	if got := offer(1, 1); len(got) != 1 || !got[0].Admitted {
		t.Fatalf("first request: %v, want it admitted", got)
	}
	for id, level := range map[uint64]int{2: 2, 3: 0, 4: 1} {
		if got := offer(id, level); len(got) != 0 {
			t.Fatalf("request %d: %v, want it to wait", id, got)
		}
	}
	gate.left = 2
	now := start.Add(10 * time.Millisecond)
	if got := a.Tick(now); len(got) != 2 || got[0].ID != 3 || got[1].ID != 4 {
		t.Errorf("after the gate opened for two: %v, want 3 and 4 admitted", got)
	}
	a.Done(now, 3, priority.Result{Latency: 10 * time.Millisecond})
	if gate.offered != 4 || gate.started != 3 || gate.ended != 1 {
		t.Errorf("the gate counted %d offered, %d started and %d ended, want 4, 3 and 1", gate.offered, gate.started, gate.ended)
	}
	if got := a.Tick(start.Add(2 * time.Second)); len(got) != 1 || got[0].Admitted || got[0].Kind != refusal.DeadlineUnreachable {
		t.Errorf("after its deadline: %v, want 2 refused", got)
	}
}

// TestLevelFollowsTheRateOfTheGate checks that what a gate doesn't let through is shed upstream, though slots are free.
func TestLevelFollowsTheRateOfTheGate(t *testing.T) {
	gate := &countingGate{rate: 20}
	a := priority.NewAdmission(priority.WithSlots(64), priority.WithGate(gate))
	id := uint64(0)
	for at := time.Duration(0); at < time.Second; at += 5 * time.Millisecond {
		now := start.Add(at)
		if at%(50*time.Millisecond) == 0 {
			gate.left = 1
		}
		id++
		for _, v := range a.Offer(now, priority.Request{ID: id, RootHash: id, Share: 1, Deadline: now.Add(time.Second)}) {
			if v.Admitted {
				a.Done(now, v.ID, priority.Result{Latency: 5 * time.Millisecond})
			}
		}
		a.Tick(now)
	}
	level := a.Level(start.Add(time.Second))
	if level.Priority != 0 || level.Share < 0.8 || level.Share > 0.95 {
		t.Errorf("200 requests a second at a gate of 20: level %+v, want about 0.9 of them shed", level)
	}
}

package target_test

import (
	"testing"
	"time"

	"sapphirespread.example/internal/backend/load"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/routing/locality"
)

// TestDemandOfOneFailureDomainSpills plays a demand of which 70% arrives in one of three failure domains, slightly more
// than its servers can take, and then an even one. Calls must leave for the others, as many as needed, be answered within
// the objective, and return.
func TestDemandOfOneFailureDomainSpills(t *testing.T) {
	const objective = 600 * time.Millisecond
	events := make(map[locality.Change]int)
	l := newQueueLoop(t, 2, 30, 12, "east", "north", "west")
	l.hot, l.aim = 0.55, objective
	l.onSpill = func(e target.SpillEvent) { events[e.Change]++ }
	l.play(8*time.Second, 0.5*l.capacity())
	if _, p99 := l.latency(); p99 > objective {
		t.Errorf("99 of 100 answers within %s, want %s", p99, objective)
	}
	if share := float64(l.far) / float64(sum(l.sent)); share == 0 || share > 0.2 {
		t.Errorf("%.2f of the calls left their failure domain", share)
	}
	l.hot = 0
	l.play(5*time.Second, 0.3*l.capacity())
	far := l.far
	l.play(2*time.Second, 0.3*l.capacity())
	if l.far != far {
		t.Errorf("%d calls left their failure domain after the surge", l.far-far)
	}
	if events[locality.Begun] == 0 || events[locality.Begun] != events[locality.Ended] {
		t.Errorf("%v, want as many spills begun as ended", events)
	}
}

// TestCallsStayUnderEqualDemand checks that calls stay in their failure domain while all are used alike and have room.
func TestCallsStayUnderEqualDemand(t *testing.T) {
	l := newQueueLoop(t, 4, 30, 12, "east", "north", "west")
	l.aim = 600 * time.Millisecond
	l.play(loopSpan, 0.5*l.capacity())
	if l.far > 0 {
		t.Errorf("%d of %d calls left their failure domain", l.far, sum(l.sent))
	}
}

// TestLossOfAFailureDomainMovesItsCalls makes all near targets, and then all far ones, unreachable. Calls must go to the
// other side at once, whatever the share of the spill.
func TestLossOfAFailureDomainMovesItsCalls(t *testing.T) {
	for _, lost := range []string{"t0", "t1"} {
		_, c := newTableAndChooser(t, "east", "west")
		state := load.State{InFlight: 1, Slots: 10, ServiceTime: time.Millisecond, Slowness: 1}
		for _, name := range []string{"t0", "t1"} {
			c.Answered(start, name, target.Observation{Kind: target.OK, Latency: time.Millisecond, Load: state})
		}
		if got := countChoices(c, start, 100); got["t0"] != 100 {
			t.Errorf("%v, want calls to stay near", got)
		}
		c.Answered(start, lost, target.Observation{Kind: target.Unreachable})
		if got := countChoices(c, start, 100); got[lost] != 0 {
			t.Errorf("%v after the loss of %s", got, lost)
		}
	}
}

package target_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/priority"
)

const (
	pacedCallers = 60
	pacedTargets = 10
)

// pacedCaller is a daemon whose table has targets in two failure domains, one of them paced.
type pacedCaller struct {
	table   *target.Table
	chooser *target.Chooser
}

func newPacedCaller(t testing.TB, paces ...int) pacedCaller {
	t.Helper()
	table := target.NewTable()
	var changes []target.Change
	for i := range pacedTargets {
		name := fmt.Sprintf("t-%d", i)
		pace := 0
		if i < len(paces) {
			pace = paces[i]
		}
		changes = append(changes, target.Change{Target: target.Target{Name: name, Service: "s", FailureDomain: "a", Slots: 64, State: target.Ready, Incarnation: 1, Pace: pace}})
	}
	if err := table.Apply(1, 0, 1, true, changes); err != nil {
		t.Fatal(err)
	}
	return pacedCaller{table, target.NewChooser(table, target.WithFailureDomain("a"))}
}

// call chooses a target, records an answer after latency and returns the target's name.
func (c pacedCaller) call(t testing.TB, now time.Time, random uint64, reported int) string {
	t.Helper()
	choice, ok, _ := c.chooser.Choose(now, random, "s", priority.Origin{RootHash: random}, nil)
	if !ok {
		t.Fatal("no target")
	}
	name := choice.Target.Name
	c.chooser.Sent(now, name)
	o := target.Observation{Latency: 10 * time.Millisecond, Kind: target.OK}
	if name == "t-0" {
		o.Pace = reported
	}
	c.chooser.Answered(now.Add(10*time.Millisecond), name, o)
	return name
}

// TestSixtyCallersSendAPacedTargetItsShare checks that callers which don't know of each other together send a target that has
// started the part of its usual calls that it asks for, neither one each nor none, and that the part follows its answers.
func TestSixtyCallersSendAPacedTargetItsShare(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, pace := range []int{1, 4, 16, 32, target.FullPace} {
		calls, paced := 0, 0
		for range pacedCallers {
			c := newPacedCaller(t, pace)
			for i := range 200 {
				calls++
				if c.call(t, start.Add(time.Duration(i)*5*time.Millisecond), random.Uint64(), pace) == "t-0" {
					paced++
				}
			}
		}
		usual := float64(calls) / pacedTargets
		want := usual * float64(pace) / target.FullPace
		if float64(paced) < want/2 || float64(paced) > want*1.5 {
			t.Errorf("pace %d: %d of %d calls, want about %.0f", pace, paced, calls, want)
		}
	}
}

// TestServiceOfPacedTargetsIsStillCalled checks that a service whose targets have all started is called, also while one of them
// sheds the request.
func TestServiceOfPacedTargetsIsStillCalled(t *testing.T) {
	paces := make([]int, pacedTargets)
	for i := range paces {
		paces[i] = 1
	}
	c, random := newPacedCaller(t, paces...), rand.New(rand.NewPCG(1, 2))
	shedding := priority.Level{Share: 0.5, ValidUntil: start.Add(time.Second)}
	c.chooser.Sent(start, "t-9")
	c.chooser.Answered(start, "t-9", target.Observation{Kind: target.Refused, Level: shedding, Pace: 1})
	for i := range 100 {
		c.call(t, start.Add(time.Duration(i)*time.Millisecond), random.Uint64(), 1)
	}
}

// TestPaceThatIsNotRenewedFades checks that a target whose daemon can't be heard doesn't stay idle.
func TestPaceThatIsNotRenewedFades(t *testing.T) {
	c, random := newPacedCaller(t, 1), rand.New(rand.NewPCG(1, 2))
	count := func(from time.Duration) (n int) {
		for range 1000 {
			if c.call(t, start.Add(from), random.Uint64(), 0) == "t-0" {
				n++
			}
		}
		return n
	}
	if early, late := count(0), count(40*time.Second); early > 20 || late < 50 {
		t.Errorf("%d of 1000 calls at first and %d after 40 s, want at most 20 and at least 50", early, late)
	}
}

// TestPacedTargetHasNoTimedSlowStart checks that a target which its daemon paces takes its whole part at once when its daemon
// says so, while one without a pace that joins starts slowly.
func TestPacedTargetHasNoTimedSlowStart(t *testing.T) {
	for pace, wantFull := range map[int]bool{0: false, target.FullPace: true} {
		c, random := newPacedCaller(t), rand.New(rand.NewPCG(1, 2))
		joined := target.Target{Name: "joined", Service: "s", FailureDomain: "a", Slots: 64, State: target.Ready, Incarnation: 1, Pace: pace}
		if err := c.table.Apply(1, 1, 2, false, []target.Change{{Target: joined}}); err != nil {
			t.Fatal(err)
		}
		for i := range pacedTargets {
			c.chooser.Sent(start, fmt.Sprintf("t-%d", i))
			c.chooser.Answered(start.Add(time.Millisecond), fmt.Sprintf("t-%d", i), target.Observation{Latency: time.Millisecond, Kind: target.OK})
		}
		c.chooser.Sent(start, "joined")
		c.chooser.Answered(start.Add(time.Millisecond), "joined", target.Observation{Latency: time.Millisecond, Kind: target.OK, Pace: pace})
		n := 0
		for range 1000 {
			choice, _, _ := c.chooser.Choose(start.Add(time.Millisecond), random.Uint64(), "s", priority.Origin{}, nil)
			if choice.Target.Name == "joined" {
				n++
			}
		}
		if full := n > 50; full != wantFull {
			t.Errorf("pace %d: chosen %d of 1000 times", pace, n)
		}
	}
}

// TestShedCallsDontMoveToAPacedTarget checks that calls which all other targets shed don't go to one that has started, beyond
// its part of them.
func TestShedCallsDontMoveToAPacedTarget(t *testing.T) {
	const pace = 4
	c, random := newPacedCaller(t, pace), rand.New(rand.NewPCG(1, 2))
	shedding := priority.Level{Share: 1, ValidUntil: start.Add(time.Second)}
	for i := 1; i < pacedTargets; i++ {
		c.chooser.Sent(start, fmt.Sprintf("t-%d", i))
		c.chooser.Answered(start, fmt.Sprintf("t-%d", i), target.Observation{Kind: target.Refused, Level: shedding})
	}
	taken := 0
	for range 1000 {
		if _, ok, _ := c.chooser.Choose(start, random.Uint64(), "s", priority.Origin{RootHash: random.Uint64()}, nil); ok {
			taken++
		}
	}
	if want := 1000.0 * pace / target.FullPace; float64(taken) > 1.5*want || float64(taken) < want/2 {
		t.Errorf("%d of 1000 calls that the others shed went to a target at %d of %d, want about %.0f", taken, pace, target.FullPace, want)
	}
}

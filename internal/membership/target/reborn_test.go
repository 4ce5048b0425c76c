package target_test

import (
	"testing"
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/priority"
)

// TestLateAnswerOfAnEarlierStartDoesNotDrainTheNext lets a target start anew while a call to its earlier start is under way,
// whose answer says that it is leaving.
func TestLateAnswerOfAnEarlierStartDoesNotDrainTheNext(t *testing.T) {
	table := target.NewTable()
	chooser := target.NewChooser(table)
	now := time.Unix(1_700_000_000, 0)
	announce := func(incarnation uint64) {
		change := target.Change{Target: target.Target{Name: "a", Service: "courts", State: target.Ready, Slots: 8, Incarnation: incarnation}}
		if err := table.Apply(1, incarnation-1, incarnation, incarnation == 1, []target.Change{change}); err != nil {
			t.Fatal(err)
		}
	}
	chosen := func() bool {
		_, ok, _ := chooser.Choose(now, 1, "courts", priority.Origin{}, nil)
		return ok
	}
	announce(1)
	chooser.Sent(now, "a")
	announce(2)
	chooser.Answered(now, "a", target.Observation{Kind: target.Refused, Draining: true, Incarnation: 1})
	if !chosen() {
		t.Error("the next start gets no calls")
	}
	chooser.Answered(now, "a", target.Observation{Kind: target.Refused, Draining: true, Incarnation: 2})
	if chosen() {
		t.Error("a start that says it is leaving gets calls")
	}
}

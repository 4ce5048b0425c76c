package target_test

import (
	"testing"
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/priority"
)

// TestLateAnswerOfEarlierIncarnationDoesNotDrainNext restarts a target while a call to its previous incarnation is in
// flight. The late answer reports that the previous incarnation is draining, which must not drain the new one.
func TestLateAnswerOfEarlierIncarnationDoesNotDrainNext(t *testing.T) {
	table := target.NewTable()
	chooser := target.NewChooser(table)
	now := time.Unix(1_700_000_000, 0)
	announce := func(incarnation uint64) {
		change := target.Change{Target: target.Target{Name: "a", Service: "courts", State: target.Ready, Slots: 8, Incarnation: incarnation}}
		if err := table.Apply(1, incarnation-1, incarnation, incarnation == 1, []target.Change{change}); err != nil {
			t.Fatal(err)
		}
	}
	isChosen := func() bool {
		_, ok, _ := chooser.Choose(now, 1, "courts", priority.Origin{}, nil)
		return ok
	}
	announce(1)
	chooser.Sent(now, "a")
	announce(2)
	chooser.Answered(now, "a", target.Observation{Kind: target.Refused, Draining: true, Incarnation: 1})
	if !isChosen() {
		t.Error("the new incarnation gets no calls")
	}
	chooser.Answered(now, "a", target.Observation{Kind: target.Refused, Draining: true, Incarnation: 2})
	if isChosen() {
		t.Error("a draining incarnation gets calls")
	}
}

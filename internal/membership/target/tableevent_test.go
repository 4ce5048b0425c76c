package target_test

import (
	"slices"
	"testing"

	"sapphirespread.example/internal/membership/target"
)

// TestTableReportsEvents checks the events of deltas that add, drain, restart and remove a target. A delta without a
// change and a repeated drain cause no event.
func TestTableReportsEvents(t *testing.T) {
	type event struct {
		kind    target.TableEventKind
		state   target.State
		version uint64
	}
	var got []event
	table := target.NewTable(target.WithTableEvents(func(e target.TableEvent) {
		got = append(got, event{e.Kind, e.Target.State, e.Version})
	}))
	apply := func(from, to uint64, whole bool, changes ...target.Change) {
		t.Helper()
		if err := table.Apply(1, from, to, whole, changes); err != nil {
			t.Fatal(err)
		}
	}
	apply(0, 1, true, target.Change{Target: announced("a", "booking", 1, target.Ready)})
	apply(1, 2, false, target.Change{Target: announced("a", "booking", 1, target.Ready)})
	apply(2, 3, false, target.Change{Target: announced("a", "booking", 1, target.Draining)})
	apply(3, 4, false, target.Change{Target: announced("a", "booking", 2, target.Ready)})
	table.MarkDraining("a", 2)
	table.MarkDraining("a", 2)
	apply(4, 5, true)
	want := []event{
		{target.TargetAdded, target.Ready, 1},
		{target.TargetStateChanged, target.Draining, 3},
		{target.TargetRemoved, target.Draining, 4},
		{target.TargetAdded, target.Ready, 4},
		{target.TargetReportedDraining, target.Ready, 4},
		{target.TargetRemoved, target.Ready, 5},
	}
	if !slices.Equal(got, want) {
		t.Errorf("events %v, want %v", got, want)
	}
}

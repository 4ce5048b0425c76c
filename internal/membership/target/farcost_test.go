package target_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/priority"
)

// eastern returns a chooser in the east among targets with their failure domains, for which far targets cost more.
func eastern(t *testing.T, domains map[string]string) *target.Chooser {
	t.Helper()
	table := target.NewTable()
	var changes []target.Change
	for name, domain := range domains {
		changes = append(changes, target.Change{Target: target.Target{Name: name, Service: "courts", FailureDomain: domain, State: target.Ready, Slots: 10, Incarnation: 1}})
	}
	if err := table.Apply(1, 0, 1, true, changes); err != nil {
		t.Fatal(err)
	}
	return target.NewChooser(table, target.WithFailureDomain("east"), target.WithFarCost(1.3))
}

// TestFarTargetsWaitForAClearDifference offers a near and a far target under the same pressure, and then a near one with
// more than twice the load.
func TestFarTargetsWaitForAClearDifference(t *testing.T) {
	chooser := eastern(t, map[string]string{"near": "east", "far": "west"})
	now := time.Unix(1_700_000_000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	for _, name := range []string{"near", "far"} {
		for range 10 {
			chooser.Sent(now, name)
		}
		// A refusal is a sign of pressure, which takes the near target's precedence away.
		chooser.Answered(now, name, target.Observation{Latency: time.Millisecond, Kind: target.Refused})
	}
	if near := callsTo(t, "near", chooser, now, random); near != 100 {
		t.Errorf("under the same load %d of 100 go to the near target", near)
	}
	for range 16 {
		chooser.Sent(now, "near")
	}
	if near := callsTo(t, "near", chooser, now, random); near != 0 {
		t.Errorf("under far more load %d of 100 go to the near target", near)
	}
}

// TestCallsStayNearWhileAllAreFull overloads a service with a target in each of four failure domains, all under the same
// pressure, as in a surge everywhere. Before, three of four calls left their domain.
func TestCallsStayNearWhileAllAreFull(t *testing.T) {
	const wanted = 95 // of 100 calls
	domains := []string{"east", "north", "south", "west"}
	chooser := eastern(t, map[string]string{"east": "east", "north": "north", "south": "south", "west": "west"})
	now := time.Unix(1_700_000_000, 0)
	full := priority.Level{Priority: 3, Share: 0.5, ValidUntil: now.Add(time.Second)}
	for _, name := range domains {
		for range 10 {
			chooser.Sent(now, name)
		}
		chooser.Answered(now, name, target.Observation{Latency: 10 * time.Millisecond, Kind: target.OK, Level: full})
	}
	random := rand.New(rand.NewPCG(1, 1))
	if near := callsTo(t, "east", chooser, now, random); near < wanted {
		t.Errorf("%d of 100 calls stay in their failure domain, want %d", near, wanted)
	}
}

// callsTo returns how many of 100 calls go to the target of that name.
func callsTo(t *testing.T, name string, chooser *target.Chooser, now time.Time, random *rand.Rand) int {
	t.Helper()
	calls := 0
	for range 100 {
		chosen, ok, _ := chooser.Choose(now, random.Uint64(), "courts", priority.Origin{}, nil)
		if !ok {
			t.Fatal("nothing is chosen")
		}
		if chosen.Target.Name == name {
			calls++
		}
	}
	return calls
}

package target_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/priority"
)

// newEasternChooser returns a chooser in failure domain east over targets with the given failure domains. Targets of
// other failure domains cost more.
func newEasternChooser(t *testing.T, domains map[string]string) *target.Chooser {
	t.Helper()
	table := target.NewTable()
	var changes []target.Change
	for name, domain := range domains {
		changes = append(changes, target.Change{Target: target.Target{Name: name, Service: "courts", FailureDomain: domain, State: target.Ready, Slots: 10, Incarnation: 1}})
	}
	if err := table.Apply(1, 0, 1, true, changes); err != nil {
		t.Fatal(err)
	}
	return target.NewChooser(table, target.WithFailureDomain("east"), target.WithCrossDomainCost(1.3))
}

// TestFarTargetNeedsClearlyLowerCost checks that calls prefer the near of two targets under equal pressure, and go to
// the far one once the near one has more than twice its load.
func TestFarTargetNeedsClearlyLowerCost(t *testing.T) {
	chooser := newEasternChooser(t, map[string]string{"near": "east", "far": "west"})
	now := time.Unix(1_700_000_000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	for _, name := range []string{"near", "far"} {
		for range 10 {
			chooser.Sent(now, name)
		}
		// A refusal puts the near target under pressure, so that it is not preferred to the far one.
		chooser.Answered(now, name, target.Observation{Latency: time.Millisecond, Kind: target.Refused})
	}
	if near := callsTo(t, "near", chooser, now, random); near != 100 {
		t.Errorf("under equal load %d of 100 calls go to the near target, want all", near)
	}
	for range 16 {
		chooser.Sent(now, "near")
	}
	if near := callsTo(t, "near", chooser, now, random); near != 0 {
		t.Errorf("under more than twice the load %d of 100 calls go to the near target, want none", near)
	}
}

// TestCallsStayInOwnDomainUnderEqualPressure checks that calls stay in their failure domain if a surge puts the targets
// of all four failure domains under equal pressure. A choice between two random targets would send three of four calls
// to other failure domains.
func TestCallsStayInOwnDomainUnderEqualPressure(t *testing.T) {
	const minimum = 95 // of 100 calls
	domains := []string{"east", "north", "south", "west"}
	chooser := newEasternChooser(t, map[string]string{"east": "east", "north": "north", "south": "south", "west": "west"})
	now := time.Unix(1_700_000_000, 0)
	pressure := priority.Level{Priority: 3, Share: 0.5, ValidUntil: now.Add(time.Second)}
	for _, name := range domains {
		for range 10 {
			chooser.Sent(now, name)
		}
		chooser.Answered(now, name, target.Observation{Latency: 10 * time.Millisecond, Kind: target.OK, Level: pressure})
	}
	random := rand.New(rand.NewPCG(1, 1))
	if near := callsTo(t, "east", chooser, now, random); near < minimum {
		t.Errorf("%d of 100 calls stay in their failure domain, want at least %d", near, minimum)
	}
}

// callsTo returns how many of 100 calls go to the named target.
func callsTo(t *testing.T, name string, chooser *target.Chooser, now time.Time, random *rand.Rand) int {
	t.Helper()
	calls := 0
	for range 100 {
		chosen, ok, _ := chooser.Choose(now, random.Uint64(), "courts", priority.Origin{}, nil)
		if !ok {
			t.Fatal("no target chosen")
		}
		if chosen.Target.Name == name {
			calls++
		}
	}
	return calls
}

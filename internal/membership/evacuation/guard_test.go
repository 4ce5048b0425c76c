package evacuation_test

import (
	"testing"
	"time"

	"sapphirespread.example/internal/membership/evacuation"
)

// TestGuardGivesCallersTimeToMove takes the guard's failure domain out of use and back. It refuses a second after the
// order, at once if the order is older, and a further order doesn't put that off.
func TestGuardGivesCallersTimeToMove(t *testing.T) {
	g := evacuation.NewGuard("east")
	requireRefuses := func(after time.Duration, want bool) {
		t.Helper()
		if got := g.Refuses(epoch.Add(after)); got != want {
			t.Errorf("after %s: refuses %t", after, got)
		}
	}
	requireRefuses(time.Hour, false)
	g.Update(epoch, evacuation.State{Version: 1, Domains: []string{"west"}})
	requireRefuses(time.Hour, false)
	g.Update(epoch, evacuation.State{Version: 2, Domains: []string{"east", "west"}, Age: 100 * time.Millisecond})
	requireRefuses(899*time.Millisecond, false)
	requireRefuses(900*time.Millisecond, true)
	g.Update(epoch.Add(time.Minute), evacuation.State{Version: 3, Domains: []string{"east"}})
	requireRefuses(time.Minute, true)
	g.Update(epoch.Add(time.Hour), evacuation.State{Version: 4})
	requireRefuses(time.Hour, false)
	g.Update(epoch, evacuation.State{Version: 5, Domains: []string{"east"}, Age: time.Hour})
	requireRefuses(0, true)
}

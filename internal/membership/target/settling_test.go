package target_test

import (
	"testing"
	"time"

	"sapphirespread.example/internal/membership/target"
)

// TestServicesAreLearntWhileALeaderSettles restarts all targets under a new leader. They announce themselves, and a
// daemon requests one service after another while the leader is still settling. Each delta must add the requested
// service, though the leader's version doesn't change.
func TestServicesAreLearntWhileALeaderSettles(t *testing.T) {
	const epoch = 3
	registry := target.NewRegistry(target.WithSettleUntil(start.Add(1500 * time.Millisecond)))
	for _, service := range []string{"courts", "calendar", "passes"} {
		registry.Announce(start, target.Target{Name: service + "-1", Service: service, Incarnation: 1, Slots: 8, State: target.Ready})
	}
	table := target.NewTable()
	services := []string{}
	for _, service := range []string{"courts", "calendar", "passes"} {
		services = append(services, service)
		changes, to, whole := registry.Delta(0, services)
		if err := table.Apply(epoch, 0, to, whole, changes); err != nil {
			t.Fatal(err)
		}
		if got := table.Targets(service); len(got) != 1 {
			t.Errorf("%d targets of %s, want 1", len(got), service)
		}
	}
}

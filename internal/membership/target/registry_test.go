package target_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"sapphirespread.example/internal/membership/target"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func announced(name, service string, incarnation uint64, state target.State) target.Target {
	return target.Target{
		Name: name, Service: service, FailureDomain: "east", Daemon: "daemon-" + name,
		Peer: netip.MustParseAddrPort("127.0.0.1:9000"), Incarnation: incarnation, Slots: 80, State: state,
	}
}

// TestTablesConverge checks that a table whose deltas are lost and repeated holds the registry's targets after the next
// full delta, and that no target ever returns to an older incarnation or state.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := target.NewRegistry()
		table := target.NewTable()
		services := []string{"booking", "wind"}
		now := start
		latest := make(map[string]target.Target)
		stateRank := map[target.State]int{target.Warming: 0, target.Ready: 1, target.Draining: 2}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
			state := rapid.SampledFrom([]target.State{target.Warming, target.Ready, target.Draining}).Draw(t, "state")
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				registry.Announce(now, announced(name, services[len(name)%2], incarnation, state))
			case 2:
				registry.Leave(now, name, incarnation)
			case 3:
				registry.Expire(now)
			}
			_, version := table.Version()
			from := version - rapid.Uint64Range(0, min(version, 2)).Draw(t, "repeat")
			changes, to, whole := registry.Delta(from, services)
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			if err := table.Apply(1, from, to, whole, changes); err != nil {
				t.Fatal(err)
			}
			for _, service := range services {
				for _, got := range table.Targets(service) {
					before := latest[got.Name]
					if got.Incarnation < before.Incarnation || got.Incarnation == before.Incarnation && stateRank[got.State] < stateRank[before.State] {
						t.Fatalf("%s returned from %+v to %+v", got.Name, before, got)
					}
					latest[got.Name] = got
				}
			}
		}
		now = now.Add(2 * time.Minute)
		registry.Expire(now)
		registry.Announce(now, announced("z", "wind", 9, target.Ready))
		_, version := table.Version()
		changes, to, whole := registry.Delta(version, services)
		if err := table.Apply(1, version, to, whole, changes); err != nil {
			t.Fatal(err)
		}
		if got := append(table.Targets("booking"), table.Targets("wind")...); len(got) != 1 || got[0].Name != "z" {
			t.Fatalf("table holds %+v, want only z", got)
		}
	})
}

func TestLeftIncarnationStaysGone(t *testing.T) {
	registry := target.NewRegistry()
	registry.Announce(start, announced("a", "wind", 7, target.Ready))
	registry.Leave(start, "a", 7)
	if registry.Announce(start, announced("a", "wind", 7, target.Ready)) || registry.Announce(start, announced("a", "wind", 6, target.Ready)) {
		t.Error("an incarnation that left rejoined")
	}
	if !registry.Announce(start, announced("a", "wind", 8, target.Ready)) {
		t.Error("a new incarnation was refused")
	}
}

func TestLoadChangeIsNotAdvertised(t *testing.T) {
	registry := target.NewRegistry()
	registry.Announce(start, announced("a", "wind", 1, target.Ready))
	before := registry.Version()
	busy := announced("a", "wind", 1, target.Ready)
	busy.InFlight, busy.Connections, busy.Slots = 70, 300, 90
	registry.Announce(start, busy)
	if registry.Version() != before {
		t.Error("a change of load alone was advertised")
	}
	busy.Slots = 160
	registry.Announce(start, busy)
	if registry.Version() == before {
		t.Error("a material change of slots was not advertised")
	}
}

// TestFlappingIsDamped checks that a target that restarts twice a second for a minute causes few new versions, and is
// advertised again once it is stable.
func TestFlappingIsDamped(t *testing.T) {
	const maxVersions = 12
	registry := target.NewRegistry()
	first := registry.Version()
	for i := range 120 {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		registry.Announce(now, announced("a", "wind", uint64(i+1), target.Ready))
		registry.Expire(now)
	}
	if versions := registry.Version() - first; versions > maxVersions {
		t.Errorf("%d new versions in a minute, want at most %d", versions, maxVersions)
	}
	calm := start.Add(3 * time.Minute)
	registry.Announce(calm, announced("a", "wind", 500, target.Ready))
	registry.Expire(calm)
	if changes, _, _ := registry.Delta(0, []string{"wind"}); len(changes) != 1 {
		t.Errorf("a stable target is still suppressed: %+v", changes)
	}
}

// TestNewLeaderKeepsTargets checks that a new leader removes no targets before its settling period ends, and then
// removes those that have not announced themselves.
func TestNewLeaderKeepsTargets(t *testing.T) {
	old, table := target.NewRegistry(), target.NewTable()
	old.Announce(start, announced("a", "wind", 1, target.Ready))
	old.Announce(start, announced("b", "wind", 1, target.Ready))
	syncTable := func(epoch uint64, registry *target.Registry) int {
		heldEpoch, version := table.Version()
		if heldEpoch != epoch {
			version = 0
		}
		changes, to, whole := registry.Delta(version, []string{"wind"})
		if err := table.Apply(epoch, version, to, whole, changes); err != nil {
			t.Fatal(err)
		}
		return len(table.Targets("wind"))
	}
	if got := syncTable(1, old); got != 2 {
		t.Fatalf("%d targets, want 2", got)
	}
	next := target.NewRegistry(target.WithSettleUntil(start.Add(3 * time.Second)))
	next.Announce(start, announced("a", "wind", 1, target.Ready))
	if got := syncTable(2, next); got != 2 {
		t.Errorf("%d targets before the settling period ended, want 2", got)
	}
	next.Announce(start.Add(3*time.Second), announced("a", "wind", 1, target.Ready))
	next.Expire(start.Add(3 * time.Second))
	if got := syncTable(2, next); got != 1 {
		t.Errorf("%d targets after the settling period ended, want 1", got)
	}
	if err := table.Apply(1, 0, 99, true, nil); !errorx.IsOfType(err, target.ErrStale) {
		t.Error("a delta of the old leader was applied")
	}
}

// TestTombstonesOfMovedTargetsArePurged moves a target to another service. A daemon that missed it for longer than
// tombstones are kept must get the whole list of the old service.
func TestTombstonesOfMovedTargetsArePurged(t *testing.T) {
	registry := target.NewRegistry()
	registry.Announce(start, announced("a", "old", 1, target.Ready))
	before := registry.Version()
	registry.Announce(start, announced("a", "new", 2, target.Ready))
	later := start.AddDate(0, 0, 2)
	registry.Announce(later, announced("a", "new", 2, target.Ready))
	registry.Expire(later)
	changes, _, whole := registry.Delta(before, []string{"old"})
	if !whole || len(changes) != 0 {
		t.Errorf("whole %t with %d changes, want a whole list without targets", whole, len(changes))
	}
}

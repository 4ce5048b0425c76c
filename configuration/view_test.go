package configuration_test

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"sapphirespread.example/configuration"
)

var start = time.Unix(1_000_000, 0)

// delta is the arguments of View.Apply, as a control instance sends them.
type delta struct {
	from, to uint64
	whole    bool
	changes  []configuration.Change
}

// TestViewNeverReverts delivers deltas to a view in any order, with losses and repeats, as from control instances that
// lag by different numbers of revisions. The view must never move to a lower revision or hold other content.
func TestViewNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := configuration.NewRegistry(configuration.WithKeptRevisions(3))
		view := configuration.NewView()
		contents := map[uint64]string{0: dump(configuration.Set{})}
		var inFlight []delta
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			held := view.Revision()
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				id := time.Duration(registry.Revision()).String()
				registry.Publish(start, configuration.PublishRequest{ID: id, Base: registry.Revision(), Set: drawSet(t)})
				contents[registry.Revision()] = dump(registry.Current())
			case 1:
				changes, whole := registry.Delta(held)
				inFlight = append(inFlight, delta{held, registry.Revision(), whole, changes})
			case 2:
				if len(inFlight) == 0 {
					continue
				}
				d := rapid.SampledFrom(inFlight).Draw(t, "delivered")
				err := view.Apply(d.from, d.to, d.whole, d.changes)
				if d.to >= held && err != nil {
					t.Fatalf("applying revision %d at revision %d failed: %v", d.to, held, err)
				}
				if d.to < held && !errorx.IsOfType(err, configuration.RevisionOld) {
					t.Fatalf("applying revision %d at revision %d: got %v, want RevisionOld", d.to, held, err)
				}
			}
			snapshot, _ := view.Current(start)
			if snapshot.Revision < held || dump(snapshot.Set) != contents[snapshot.Revision] {
				t.Fatalf("revision %d after %d is lower or has other content", snapshot.Revision, held)
			}
		}
	})
}

// TestViewIsFreshOnlyWhileConfirmed draws confirmations and deltas. The view may be fresh only if a confirmation
// requested within the lease named a revision that the view has reached.
func TestViewIsFreshOnlyWhileConfirmed(t *testing.T) {
	const freshness = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		view := configuration.NewView(configuration.WithFreshness(freshness))
		type confirmation struct {
			sentAt   time.Time
			revision uint64
		}
		var confirmations []confirmation
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "elapsed")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				sentAt := now.Add(-time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond)
				c := confirmation{sentAt, view.Revision() + rapid.Uint64Range(0, 2).Draw(t, "ahead")}
				confirmations = append(confirmations, c)
				view.Confirm(c.sentAt, c.revision)
			case 1:
				held := view.Revision()
				if err := view.Apply(held, held+1, false, nil); err != nil {
					t.Fatal(err)
				}
			}
			snapshot, fresh := view.Current(now)
			confirmed := false
			for _, c := range confirmations {
				confirmed = confirmed || (c.revision <= snapshot.Revision && now.Sub(c.sentAt) < freshness)
			}
			if fresh && !confirmed {
				t.Fatalf("fresh at revision %d without a confirmation within the lease", snapshot.Revision)
			}
		}
	})
}

func TestViewFreshness(t *testing.T) {
	view := configuration.NewView(configuration.WithFreshness(3 * time.Second))
	expect := func(at time.Duration, want bool) {
		t.Helper()
		if _, fresh := view.Current(start.Add(at)); fresh != want {
			t.Errorf("at %s: fresh %t, want %t", at, fresh, want)
		}
	}
	expect(0, false)
	view.Confirm(start, 0)
	expect(2999*time.Millisecond, true)
	expect(3*time.Second, false)
	view.Confirm(start.Add(4*time.Second), 1)
	expect(4*time.Second, false)
	if err := view.Apply(0, 1, true, nil); err != nil {
		t.Fatal(err)
	}
	expect(6*time.Second, true)
	view.Confirm(start.Add(time.Second), 1)
	expect(6*time.Second, true)
	expect(7*time.Second, false)
}

func TestViewRefusesGapsAndBrokenSets(t *testing.T) {
	view := configuration.NewView()
	if err := view.Apply(3, 4, false, nil); !errorx.IsOfType(err, configuration.RevisionGap) {
		t.Errorf("got %v, want RevisionGap", err)
	}
	for _, changes := range [][]configuration.Change{
		workspaceChange("oslo"),
		{{Kind: "colour", Name: "red", Body: []byte(`{}`)}},
		{{Kind: "colour", Name: "red", Removed: true}},
		{{Kind: configuration.KindLimit, Name: "a", Body: []byte(`{"name":"b","rate":1,"burst":1}`)}},
		{{Kind: configuration.KindLimit, Name: "a", Body: []byte(`{"name":"a","rates":1}`)}},
	} {
		if err := view.Apply(0, 1, false, changes); !errorx.IsOfType(err, configuration.SetBroken) {
			t.Errorf("applying %s: got %v, want SetBroken", changes[0].Body, err)
		}
	}
	if view.Revision() != 0 {
		t.Errorf("got revision %d, want 0", view.Revision())
	}
}

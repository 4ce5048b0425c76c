package configuration_test

import (
	"fmt"
	"testing"
	"time"

	"sapphirespread.example/configuration"
)

// TestHistoryOfRewrittenSetsIsSmall guards against snapshots and processes that grow by twice the whole set with each
// revision that changes all objects. Kept revisions must still be restored exactly.
func TestHistoryOfRewrittenSetsIsSmall(t *testing.T) {
	const (
		routes    = 1841
		revisions = 28
		// A control process of 256 MiB plans with a sixteenth for its log, and as much for a snapshot.
		bound = 16 << 20
	)
	registry := configuration.NewRegistry()
	var published []configuration.Set
	for i := range revisions {
		set := configuration.Set{
			Services:   []configuration.Service{{Name: "front"}},
			Priorities: []configuration.Priority{{Name: "level", Level: 1}},
		}
		for j := range routes {
			set.Routes = append(set.Routes, configuration.Route{
				Name: fmt.Sprintf("r-%04d", j), Host: "a.example", Path: fmt.Sprintf("/p%d/*", j), Service: "front", Priority: "level",
				Deadline: time.Duration(i+1) * time.Second, Repeatable: true, Open: true,
			})
		}
		published = append(published, set)
		if result := registry.Publish(start, configuration.PublishRequest{ID: fmt.Sprint(i), Base: uint64(i), Set: set}); result.Kind != configuration.Accepted {
			t.Fatalf("revision %d is %s", i+1, result.Kind)
		}
	}
	encoded, err := registry.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	if len(encoded) > bound {
		t.Errorf("the snapshot has %d bytes, want at most %d", len(encoded), bound)
	}
	restored := configuration.NewRegistry()
	if err := restored.UnmarshalBinary(encoded); err != nil {
		t.Fatal(err)
	}
	for _, r := range []*configuration.Registry{registry, restored} {
		for _, i := range []int{0, revisions / 2, revisions - 2, revisions - 1} {
			if got, ok := r.Set(uint64(i + 1)); !ok || dump(got) != dump(published[i]) {
				t.Fatalf("revision %d has other content", i+1)
			}
		}
		if changes, whole := r.Delta(1); whole || len(changes) != routes {
			t.Errorf("the delta from revision 1 has %d changes, whole: %t", len(changes), whole)
		}
	}
}

package evacuation_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sapphirespread.example/internal/membership/evacuation"
)

// TestViewNeverGoesBack delivers the states of a register late, repeatedly and in any order, from the leader and from
// other daemons. The view holds the newest that it got, and what it passes on only advances.
func TestViewNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := evacuation.NewRegister()
		states := []evacuation.State{r.State(1)}
		for range rapid.IntRange(1, 10).Draw(rt, "orders") {
			r.Apply(epoch, evacuation.Order{Domain: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "domain"), Out: rapid.Bool().Draw(rt, "out")})
			states = append(states, r.State(1))
		}
		var passedOn []evacuation.State
		v := evacuation.NewView(func(s evacuation.State) { passedOn = append(passedOn, s) })
		v.ApplyLeader(states[0])
		newest := uint64(0)
		for range rapid.IntRange(1, 20).Draw(rt, "deliveries") {
			s := rapid.SampledFrom(states).Draw(rt, "state")
			apply := v.ApplyLeader
			if rapid.Bool().Draw(rt, "from a peer") {
				apply = v.ApplyPeer
			}
			if apply(s) != (s.Version > newest) {
				rt.Fatalf("version %d after %d: applied %t", s.Version, newest, s.Version <= newest)
			}
			newest = max(newest, s.Version)
			if v.Version() != newest {
				rt.Fatalf("version %d, want %d", v.Version(), newest)
			}
		}
		if !slices.IsSortedFunc(passedOn, func(a, b evacuation.State) int { return int(a.Version) - int(b.Version) }) {
			rt.Fatalf("passed on %+v", passedOn)
		}
	})
}

// TestOnlyTheLeaderChangesTheCluster guards against a daemon that goes by the orders of a cluster that was replaced, and
// against one that ignores the orders of the new one since they have lower versions.
func TestOnlyTheLeaderChangesTheCluster(t *testing.T) {
	v := evacuation.NewView(func(evacuation.State) {})
	v.ApplyLeader(evacuation.State{Cluster: 1, Version: 5, Domains: []string{"a"}})
	if v.ApplyPeer(evacuation.State{Cluster: 2, Version: 9}) || !v.Out("a") {
		t.Error("another daemon replaced the cluster")
	}
	if !v.ApplyLeader(evacuation.State{Cluster: 2, Version: 1, Domains: []string{"b"}}) || v.Out("a") || !v.Out("b") {
		t.Error("the new cluster was not followed")
	}
	if v.ApplyPeer(evacuation.State{Cluster: 1, Version: 9, Domains: []string{"a"}}) {
		t.Error("another daemon brought the replaced cluster back")
	}
}

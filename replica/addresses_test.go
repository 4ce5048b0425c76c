package replica_test

import (
	"slices"
	"testing"
)

// TestMovedMembersAreFoundAndRecorded moves one node, several nodes or all nodes with their disks to new addresses,
// also while one of them is isolated and knows only the old addresses of the others.
func TestMovedMembersAreFoundAndRecorded(t *testing.T) {
	sim := newSimulation(t, traceSeed, 3, 0)
	allVoters := func() bool { return sim.allVotersWithout(nil) }
	if !sim.runUntil(maxFormingTimeouts*electionTimeout, allVoters) {
		t.Fatal("the cluster did not form")
	}
	for _, test := range []struct {
		moved   []string
		isolate string
	}{
		{[]string{"a"}, ""},
		{[]string{"b", "c"}, ""},
		{[]string{"a", "b", "c"}, ""},
		{[]string{"c", "a", "b"}, "c"},
	} {
		if test.isolate != "" {
			sim.isolate(sim.node(test.isolate), true)
		}
		for _, name := range test.moved {
			sim.move(sim.node(name))
		}
		if test.isolate != "" {
			sim.run(maxFormingTimeouts * electionTimeout)
			clear(sim.cutLinks)
		}
		recorded := func() bool {
			leader := sim.leader()
			return allVoters() && !slices.ContainsFunc(sim.nodes, func(n *node) bool {
				member, _ := leader.replica.Members().FindByID(n.id)
				return member.Address != n.address || n.replica.Applied() < leader.replica.Applied()
			})
		}
		if !sim.runUntil(maxSettleTimeouts*electionTimeout, recorded) {
			t.Errorf("after %v moved: the log doesn't record the members' new addresses", test.moved)
		}
	}
}

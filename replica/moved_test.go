package replica_test

import (
	"slices"
	"testing"
)

// TestMovedMembersAreFoundAndRecorded moves nodes with their disks, the leader among them, and up to all at once, also
// one that is cut off meanwhile and knows only where the others were.
func TestMovedMembersAreFoundAndRecorded(t *testing.T) {
	w := newWorld(t, traceSeed, 3, 0)
	whole := func() bool { return w.wholeWithout(nil) }
	if !w.runUntil(formingTimeouts*electionTimeout, whole) {
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
			w.isolate(w.node(test.isolate), true)
		}
		for _, name := range test.moved {
			w.move(w.node(name))
		}
		if test.isolate != "" {
			w.run(formingTimeouts * electionTimeout)
			clear(w.cuts)
		}
		recorded := func() bool {
			leader := w.leader()
			return whole() && !slices.ContainsFunc(w.nodes, func(n *node) bool {
				member, _ := leader.replica.Members().Find(n.id)
				return member.Address != n.address || n.replica.Applied() < leader.replica.Applied()
			})
		}
		if !w.runUntil(settleTimeouts*electionTimeout, recorded) {
			t.Errorf("after %v moved, the members are not recorded at their addresses", test.moved)
		}
	}
}

package replica_test

import (
	"net/netip"
	"slices"
	"testing"

	"sapphirespread.example/replica"
)

// TestMemberThatMovedBeforeItsFirstEntryIsFound starts a member that knows its cluster but has no entries, at an
// address that no other member knows.
func TestMemberThatMovedBeforeItsFirstEntryIsFound(t *testing.T) {
	moved := netip.AddrPortFrom(threeVoters[2].Address.Addr(), 8003)
	peers := []replica.Peer{{Name: "a", Address: threeVoters[0].Address}, {Name: "c", Address: moved}}
	disk := replica.Persisted{HardState: replica.HardState{Cluster: 9, Term: 1}}
	c, err := replica.New(start, "c", 3, moved, disk, replica.WithElectionTimeout(electionTimeout), replica.WithPeers(peers...))
	if err != nil {
		t.Fatal(err)
	}
	c.Tick(start.Add(2 * electionTimeout))
	sent := c.Ready().Messages
	at := slices.IndexFunc(sent, func(out replica.Outbound) bool { return out.Address == threeVoters[0].Address })
	if at < 0 {
		t.Fatal("the moved member doesn't announce its address")
	}
	leader := newReplicaA(t, entriesOfTerm1...)
	now := leadTerm2(t, leader)
	leader.Step(now, sent[at].Message)
	leader.Tick(now.Add(electionTimeout / 2))
	ready := leader.Ready()
	if !slices.ContainsFunc(append(ready.Immediate, ready.Messages...), func(out replica.Outbound) bool { return out.Address == moved }) {
		t.Error("the leader doesn't send to the moved member")
	}
}

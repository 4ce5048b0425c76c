package replica_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sapphirespread.example/replica"
)

func openMembership(sim *simulation) { sim.openSize = 5 }

// joinNode starts an empty node at a new address, with the three newest nodes as its configured members.
func (sim *simulation) joinNode(name string) *node {
	sim.peers = nil
	for _, other := range sim.nodes[len(sim.nodes)-3:] {
		sim.peers = append(sim.peers, replica.Peer{Name: other.name, Address: other.address})
	}
	n := sim.addNode(name, 0)
	sim.newAddresses++
	n.address = netip.AddrPortFrom(n.address.Addr(), 8000+sim.newAddresses)
	n.join = true
	n.start()
	return n
}

// removeForGood crashes a node and removes it from the simulation.
func (sim *simulation) removeForGood(n *node) {
	n.crash()
	sim.vacatedAddresses[n.address] = true
	sim.nodes = slices.DeleteFunc(sim.nodes, func(other *node) bool { return other == n })
}

// newFiveVoters returns a simulation of five voters: three founding members and two that joined them.
func newFiveVoters(t fataler, seed uint64) *simulation {
	sim := newSimulation(t, seed, 3, 0, openMembership)
	sim.joinNode("d")
	sim.joinNode("e")
	if !sim.runUntil(maxSettleTimeouts*electionTimeout, sim.allNodesVote) {
		t.Fatalf("not all five nodes became voters")
	}
	return sim
}

// allNodesVote reports whether the members are exactly the nodes of the simulation, and all of them vote.
func (sim *simulation) allNodesVote() bool {
	return sim.allVotersWithout(nil) && len(sim.leader().replica.Members()) == len(sim.nodes)
}

// TestOpenMembershipReplacesWhoIsGone removes nodes for good one after another, leaders included, and adds an empty
// node at a new address for each. Another node is down during the last replacement.
func TestOpenMembershipReplacesWhoIsGone(t *testing.T) {
	sim := newFiveVoters(t, traceSeed)
	for _, name := range []string{"f", "g", "h"} {
		if _, err := sim.propose(sim.leader()); err != nil {
			t.Fatal(err)
		}
		removed := sim.leader()
		if name == "g" {
			removed = sim.nodes[slices.IndexFunc(sim.nodes, func(n *node) bool { return n != sim.leader() })]
		}
		var down *node
		if name == "h" {
			down = sim.nodes[slices.IndexFunc(sim.nodes, func(n *node) bool { return n != removed })]
			down.crash()
		}
		sim.removeForGood(removed)
		sim.run(electionTimeout)
		sim.joinNode(name)
		if down != nil {
			sim.run(maxSettleTimeouts * electionTimeout)
			down.start()
		}
		if !sim.runUntil(maxSettleTimeouts*electionTimeout, sim.allNodesVote) {
			t.Fatalf("after %s replaced %s: not all nodes are voters", name, removed.name)
		}
	}
}

// TestOpenMembershipKeepsCutOffMembers isolates the leader for long and checks that it stays a member. Then an empty
// node joins and takes its place. The old leader must become a voter again once it is reconnected.
func TestOpenMembershipKeepsCutOffMembers(t *testing.T) {
	sim := newFiveVoters(t, traceSeed+1)
	cut := sim.leader()
	sim.isolate(cut, true)
	sim.run(maxSettleTimeouts * electionTimeout)
	if sim.leader() == nil || len(sim.leader().replica.Members()) != len(sim.nodes) {
		t.Error("the isolated leader is no longer a member")
	}
	sim.joinNode("f")
	sim.run(maxSettleTimeouts * electionTimeout)
	clear(sim.cutLinks)
	if !sim.runUntil(maxSettleTimeouts*electionTimeout, sim.allNodesVote) {
		t.Error("the isolated node doesn't become a voter again after it is reconnected")
	}
}

// TestOpenMembershipIsSafeUnderAnyFault injects random faults while nodes are replaced. No more than one disk is lost
// at a time.
func TestOpenMembershipIsSafeUnderAnyFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replaceUnderFaults(t, rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "seed"))
	})
}

// TestOpenMembershipRemovesLostVotersBeforePromotion replays a draw in which four nodes were lost and replaced within a
// few election timeouts. Each replacement was promoted before its predecessor was removed, so half of the voters were
// gone and no quorum was left.
func TestOpenMembershipRemovesLostVotersBeforePromotion(t *testing.T) {
	replaceUnderFaults(t, []byte{0x2, 0x3, 0x1, 0x3, 0x98, 0xbe, 0x1, 0x0})
}

// replaceUnderFaults injects faults and replaces nodes, all chosen by the seed, and then checks that all nodes vote.
func replaceUnderFaults(t fataler, seed []byte) {
	sim := newFiveVoters(t, binary.LittleEndian.Uint64(seed))
	for i := range faultsPerRun {
		if n := sim.nodes[sim.random.IntN(len(sim.nodes))]; sim.random.IntN(4) == 0 && sim.allVotersWithout(n) {
			sim.removeForGood(n)
			sim.joinNode(n.name + string(rune('a'+i)))
		}
		sim.injectFault(sim.allVotersWithout)
	}
	sim.heal()
	if !sim.runUntil(2*maxSettleTimeouts*electionTimeout, sim.allNodesVote) {
		t.Fatalf("not all nodes are voters after healing\n%s", sim.describeMembership())
	}
}

// describeMembership describes each node's status and view of the members.
func (sim *simulation) describeMembership() string {
	var text strings.Builder
	for _, n := range sim.nodes {
		status := n.replica.Status(n.now())
		fmt.Fprintf(&text, "%s %x at %s, %s in term %d, committed %d of %d\n", n.name, uint64(n.id), n.address, status.Phase, status.Term, status.Commit, status.Last)
		for _, m := range status.Members {
			fmt.Fprintf(&text, "  %s %x at %s, %s, match %d, active %t\n", m.Name, uint64(m.ID), m.Address, m.Role, m.Match, m.Active)
		}
	}
	return text.String()
}

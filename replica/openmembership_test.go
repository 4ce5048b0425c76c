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

func openMembership(w *world) { w.openSize = 5 }

// join starts an empty node at a new address that knows three of the others.
func (w *world) join(name string) *node {
	w.peers = nil
	for _, other := range w.nodes[len(w.nodes)-3:] {
		w.peers = append(w.peers, replica.Peer{Name: other.name, Address: other.address})
	}
	one := w.addNode(name, 0)
	w.moves++
	one.address = netip.AddrPortFrom(one.address.Addr(), 8000+w.moves)
	one.join = true
	one.start()
	return one
}

// lose takes a node away for good.
func (w *world) lose(n *node) {
	n.crash()
	w.left[n.address] = true
	w.nodes = slices.DeleteFunc(w.nodes, func(other *node) bool { return other == n })
}

// formFive returns three founding nodes and two that joined them, all of them voters.
func formFive(t failer, seed uint64) *world {
	w := newWorld(t, seed, 3, 0, openMembership)
	w.join("d")
	w.join("e")
	if !w.runUntil(settleTimeouts*electionTimeout, w.isWhole) {
		t.Fatalf("five nodes don't vote")
	}
	return w
}

// isWhole reports whether the voters are exactly the nodes of the world.
func (w *world) isWhole() bool {
	return w.wholeWithout(nil) && len(w.leader().replica.Members()) == len(w.nodes)
}

// TestOpenMembershipReplacesWhoIsGone takes nodes away for good, leaders among them, one after another and while another
// one is down, and brings empty ones at new addresses.
func TestOpenMembershipReplacesWhoIsGone(t *testing.T) {
	w := formFive(t, traceSeed)
	for _, name := range []string{"f", "g", "h"} {
		if _, err := w.propose(w.leader()); err != nil {
			t.Fatal(err)
		}
		gone := w.leader()
		if name == "g" {
			gone = w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n != w.leader() })]
		}
		var down *node
		if name == "h" {
			down = w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n != gone })]
			down.crash()
		}
		w.lose(gone)
		w.run(electionTimeout)
		w.join(name)
		if down != nil {
			w.run(settleTimeouts * electionTimeout)
			down.start()
		}
		if !w.runUntil(settleTimeouts*electionTimeout, w.isWhole) {
			t.Fatalf("after %s came for %s: not all nodes vote", name, gone.name)
		}
	}
}

// TestOpenMembershipKeepsCutOffMembers cuts the leader off from the others for long, and a member that an empty one has
// taken the place of.
func TestOpenMembershipKeepsCutOffMembers(t *testing.T) {
	w := formFive(t, traceSeed+1)
	cut := w.leader()
	w.isolate(cut, true)
	w.run(settleTimeouts * electionTimeout)
	if w.leader() == nil || len(w.leader().replica.Members()) != len(w.nodes) {
		t.Error("the cut-off leader is no longer a member")
	}
	w.join("f")
	w.run(settleTimeouts * electionTimeout)
	clear(w.cuts)
	if !w.runUntil(settleTimeouts*electionTimeout, w.isWhole) {
		t.Error("the cut-off node does not come back")
	}
}

// TestOpenMembershipIsSafeUnderAnyFault makes faults while nodes are replaced; no more than one disk is lost at a time.
func TestOpenMembershipIsSafeUnderAnyFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := formFive(t, binary.LittleEndian.Uint64(rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "seed")))
		for i := range faultsInARun {
			if n := w.nodes[w.random.IntN(len(w.nodes))]; w.random.IntN(4) == 0 && w.wholeWithout(n) {
				w.lose(n)
				w.join(n.name + string(rune('a'+i)))
			}
			w.disturb(w.wholeWithout)
		}
		w.heal()
		if !w.runUntil(2*settleTimeouts*electionTimeout, w.isWhole) {
			t.Fatalf("not all nodes vote after healing\n%s", w.membersSeen())
		}
	})
}

// membersSeen tells what each node believes of the members.
func (w *world) membersSeen() string {
	var text strings.Builder
	for _, n := range w.nodes {
		status := n.replica.Status(n.now())
		fmt.Fprintf(&text, "%s %x at %s, %s in term %d, committed %d of %d\n", n.name, uint64(n.id), n.address, status.Phase, status.Term, status.Commit, status.Last)
		for _, m := range status.Members {
			fmt.Fprintf(&text, "  %s %x at %s, %s, match %d, active %t\n", m.Name, uint64(m.ID), m.Address, m.Role, m.Match, m.Active)
		}
	}
	return text.String()
}

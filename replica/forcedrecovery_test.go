package replica_test

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sapphirespread.example/replica"
)

// forceRecovery recovers a stopped node by force and returns the commands that it keeps. It removes the entries that
// only lost nodes had committed from the expected log.
func (sim *simulation) forceRecovery(n *node) []string {
	recovery, err := replica.Recover(n.disk.snapshot, n.disk.records)
	if err != nil {
		sim.t.Fatalf("%s: %v", n.name, err)
	}
	n.id = replica.ID(sim.random.Uint64() | 1)
	generation := replica.GenerationSpec{ID: n.id, Cluster: sim.random.Uint64() | 1, Address: n.address, Command: []byte("recovered")}
	records, err := recovery.Force(n.now(), generation)
	if err != nil {
		sim.t.Fatalf("%s: %v", n.name, err)
	}
	n.disk.records = append(slices.Clip(n.disk.records), records...)
	kept := strings.Fields(string(recovery.Persisted.Snapshot.Body))
	last := recovery.Persisted.Snapshot.Index
	for _, entry := range recovery.Persisted.Entries {
		last = entry.Index
		sim.committed[last] = entry
		if entry.Kind == replica.CommandEntry {
			kept = append(kept, string(entry.Command))
		}
	}
	for index := range sim.committed {
		if index > last {
			delete(sim.committed, index)
		}
	}
	sim.acknowledged = 0
	return append(kept, "recovered")
}

// loseMajority stops all nodes. It returns a random survivor, and in random order the other nodes and an additional
// node with a copy of the survivor's disk.
func (sim *simulation) loseMajority() (survivor *node, old []*node) {
	for _, n := range sim.nodes {
		n.crash()
	}
	sim.pending = nil
	sim.clearFaults()
	sim.random.Shuffle(len(sim.nodes), func(i, j int) { sim.nodes[i], sim.nodes[j] = sim.nodes[j], sim.nodes[i] })
	survivor = sim.nodes[0]
	backup := sim.addNode("backup", clockSkew)
	backup.name, backup.id, backup.disk = survivor.name, survivor.id, survivor.disk
	old = slices.Clone(sim.nodes[1:])
	sim.random.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
	return survivor, old
}

// requestsVoteFrom reports whether a node requests the vote of another one, and so learns of a newer generation from
// it.
func (n *node) requestsVoteFrom(other *node) bool {
	members := n.replica.Members()
	member, found := members.FindByName(other.name)
	return found && member.Role == replica.Voter && member.ID != n.id
}

// TestForcedRecoveryKeepsTheSurvivorsLogAndRefusesTheLost injects random faults before and after a forced recovery.
// It checks that the survivor's whole log is applied, that each term still has one leader and leases don't overlap, and
// that a minority of old disks, possibly including a copy of the survivor's own, takes no part in the new cluster. Old
// replicas that reach a member stop for good.
func TestForcedRecoveryKeepsTheSurvivorsLogAndRefusesTheLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newRandomSimulation(t, 3, 5)
		for range faultsPerRun / 2 {
			sim.injectFault(func(*node) bool { return false })
		}
		sim.heal()
		sim.run(maxFormingTimeouts * electionTimeout)
		for range sim.random.IntN(4) {
			sim.injectFault(func(*node) bool { return false })
		}
		survivor, stopped := sim.loseMajority()
		kept := sim.forceRecovery(survivor)
		returned := stopped[:(len(stopped)-1)/2]
		survivor.start()
		for _, n := range returned {
			n.start()
		}
		contacting := slices.DeleteFunc(slices.Clone(returned), func(n *node) bool { return !n.requestsVoteFrom(survivor) })
		sim.addVoter(t, "x")
		sim.addVoter(t, "y")
		sim.lossRate, sim.duplicateRate, sim.maxDelay = 0.2, 0.2, 5*tick
		for range 200 {
			sim.advance()
			sim.proposeRandomly()
		}
		sim.clearFaults()
		allRefused := func() bool {
			return !slices.ContainsFunc(contacting, func(n *node) bool { return !errors.Is(n.replica.SupersededError(), replica.ErrSuperseded) })
		}
		if !sim.runUntil(maxSettleTimeouts*electionTimeout, allRefused) {
			t.Fatalf("an old replica was not superseded")
		}
		sim.checkRecovered(t, kept, []*node{survivor, sim.node("x"), sim.node("y")}, contacting)
	})
}

// addVoter starts an empty node and makes it a voter.
func (sim *simulation) addVoter(t *rapid.T, name string) {
	n := sim.addNode(name, clockSkew)
	n.join = true
	n.start()
	for _, change := range []func(*replica.Replica) error{
		func(r *replica.Replica) error { _, _, err := r.AddLearner(sim.leader().now(), name); return err },
		func(r *replica.Replica) error { _, _, err := r.Promote(sim.leader().now(), name); return err },
	} {
		var err error
		if !sim.runUntil(maxSettleTimeouts*electionTimeout, func() bool {
			leader := sim.leader()
			if leader == nil {
				return false
			}
			err = change(leader.replica)
			leader.settle()
			return err == nil
		}) {
			t.Fatalf("adding %s: %v", name, err)
		}
	}
}

// checkRecovered checks that the members have applied the kept commands first and then a new one, and that the disks of
// the refused nodes can't start again.
func (sim *simulation) checkRecovered(t *rapid.T, kept []string, members, refused []*node) {
	if !sim.runUntil(maxSettleTimeouts*electionTimeout, func() bool { return sim.leader() != nil }) {
		t.Fatalf("the new generation has no leader")
	}
	command, err := sim.propose(sim.leader())
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range members {
		if !sim.runUntil(maxSettleTimeouts*electionTimeout, func() bool { return slices.Contains(n.commands, command) }) {
			t.Fatalf("%s has not applied %s", n.name, command)
		}
		if len(n.commands) < len(kept) || !slices.Equal(n.commands[:len(kept)], kept) {
			t.Fatalf("%s has applied %v, want the survivor's commands %v first", n.name, n.commands, kept)
		}
	}
	for _, n := range refused {
		recovery, err := replica.Recover(n.disk.snapshot, n.disk.records)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := replica.New(n.now(), n.name, n.id, n.address, recovery.Persisted); !errors.Is(err, replica.ErrSuperseded) {
			t.Fatalf("starting from the superseded disk of %s: got error %v, want ErrSuperseded", n.name, err)
		}
	}
}

func TestForcedRecoveryIsRefusedWhereItCannotHelp(t *testing.T) {
	alone := replica.Members{memberOf("a", 1)}
	for _, test := range []struct {
		name     string
		recovery replica.RecoveredState
		want     error
	}{
		{"empty", replica.RecoveredState{}, replica.ErrNoCluster},
		{"no cluster", replica.RecoveredState{ID: 1, Name: "a"}, replica.ErrNoCluster},
		{"removed", replica.RecoveredState{ID: 4, Persisted: replica.Persisted{HardState: replica.HardState{Cluster: 9}, Snapshot: threeVoterSnapshot}}, replica.ErrUnknownMember},
		{"superseded", replica.RecoveredState{ID: 1, Persisted: replica.Persisted{HardState: replica.HardState{Cluster: 9, SupersededBy: 1}, Snapshot: threeVoterSnapshot}}, replica.ErrSuperseded},
		{"alone", replica.RecoveredState{ID: 1, Persisted: replica.Persisted{HardState: replica.HardState{Cluster: 9}, Snapshot: replica.Snapshot{Index: 1, Term: 1, Members: alone}}}, replica.ErrOnlyVoter},
	} {
		if _, err := test.recovery.Force(start, replica.GenerationSpec{ID: 5, Cluster: 8}); !errors.Is(err, test.want) {
			t.Errorf("%s: got error %v, want %v", test.name, err, test.want)
		}
	}
}

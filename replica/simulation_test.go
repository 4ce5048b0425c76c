package replica_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/replica"
	"sapphirespread.example/replica/replicapb"
)

const tick = heartbeat / 4

// fataler is implemented by testing.T and rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// pendingMessage is an encoded message to be delivered at a time of the simulation.
type pendingMessage struct {
	at      time.Duration
	to      *node
	encoded []byte
}

// link is one direction of the connection between two nodes, by their names.
type link struct{ from, to string }

// simulation runs nodes on simulated time, delivers their messages and checks the safety properties of the protocol
// after each step.
type simulation struct {
	t        fataler
	random   *rand.Rand
	now      time.Duration
	nodes    []*node
	peers    []replica.Peer
	pending  []pendingMessage
	cutLinks map[link]bool
	// openSize is the open membership size that nodes start with; zero for none.
	openSize int
	// vacatedAddresses holds the addresses of nodes that have moved or been removed.
	vacatedAddresses map[netip.AddrPort]bool
	newAddresses     uint16
	lossRate         float64
	duplicateRate    float64
	maxDelay         time.Duration
	leaderOfTerm     map[uint64]replica.ID
	committed        map[uint64]replica.Entry
	proposed         int
	// acknowledged is the last index that a leader has applied, so that a caller may know its outcome.
	acknowledged uint64
}

func newSimulation(t fataler, seed uint64, size int, clockSkew float64, options ...func(*simulation)) *simulation {
	sim := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), cutLinks: map[link]bool{}, vacatedAddresses: map[netip.AddrPort]bool{},
		leaderOfTerm: map[uint64]replica.ID{}, committed: map[uint64]replica.Entry{},
	}
	for _, option := range options {
		option(sim)
	}
	for i := range size {
		n := sim.addNode(string(rune('a'+i)), clockSkew)
		sim.peers = append(sim.peers, replica.Peer{Name: n.name, Address: n.address})
	}
	for _, n := range sim.nodes {
		n.start()
	}
	return sim
}

func (sim *simulation) addNode(name string, clockSkew float64) *node {
	n := &node{
		sim:         sim,
		name:        name,
		address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+len(sim.nodes))),
		clockOffset: time.Duration(sim.random.Int64N(int64(time.Minute))),
		clockRate:   1 + clockSkew*float64(sim.random.IntN(3)-1),
	}
	sim.nodes = append(sim.nodes, n)
	return n
}

// move restarts a node with its disk at a new address, which is in the settings of all nodes that start from then on.
// Nodes without a cluster are restarted with the new settings, because no member knows their addresses.
func (sim *simulation) move(n *node) {
	n.crash()
	sim.vacatedAddresses[n.address] = true
	sim.newAddresses++
	n.address = netip.AddrPortFrom(n.address.Addr(), 8000+sim.newAddresses)
	for i, peer := range sim.peers {
		if peer.Name == n.name {
			sim.peers[i].Address = n.address
		}
	}
	n.start()
	for _, other := range sim.nodes {
		if other.replica != nil && !other.belongsToCluster() {
			other.crash()
			other.start()
		}
	}
}

func (sim *simulation) node(name string) *node {
	return sim.nodes[slices.IndexFunc(sim.nodes, func(n *node) bool { return n.name == name })]
}

func (sim *simulation) nodeAt(address netip.AddrPort) *node {
	i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.address == address })
	if sim.vacatedAddresses[address] {
		return nil
	}
	if i < 0 {
		sim.t.Fatalf("message to unknown address %s", address)
	}
	return sim.nodes[i]
}

func (sim *simulation) send(from *node, outbound []replica.Outbound) {
	for _, out := range outbound {
		to := sim.nodeAt(out.Address)
		if to == nil || sim.cutLinks[link{from.name, to.name}] || sim.random.Float64() < sim.lossRate {
			continue
		}
		encoded, err := proto.Marshal(replica.EncodeMessage(out.Message))
		if err != nil {
			sim.t.Fatalf("encoding message: %v", err)
		}
		copies := 1
		if sim.random.Float64() < sim.duplicateRate {
			copies = 2
		}
		for range copies {
			at := sim.now
			if sim.maxDelay > 0 {
				at += time.Duration(sim.random.Int64N(int64(sim.maxDelay)))
			}
			sim.pending = append(sim.pending, pendingMessage{at: at, to: to, encoded: encoded})
		}
	}
}

// advance simulates one tick: it delivers the due messages, ticks all nodes and delivers the messages that follow.
func (sim *simulation) advance() {
	sim.now += tick
	sim.deliverDue()
	for _, n := range sim.nodes {
		if n.up() {
			n.replica.Tick(n.now())
			n.settle()
		}
	}
	sim.deliverDue()
	sim.checkLeaders()
}

// deliverDue delivers the due messages, and the messages sent in response that are due at the same time.
func (sim *simulation) deliverDue() {
	for delivered := true; delivered; {
		due := sim.pending
		sim.pending = nil
		delivered = false
		slices.SortStableFunc(due, func(a, b pendingMessage) int { return int(a.at - b.at) })
		for _, m := range due {
			if m.at > sim.now || m.to.frozen {
				sim.pending = append(sim.pending, m)
			} else if m.to.replica != nil && m.to.stalled == nil {
				sim.deliver(m)
				delivered = true
			}
		}
	}
}

func (sim *simulation) deliver(m pendingMessage) {
	var encoded replicapb.Message
	if err := proto.Unmarshal(m.encoded, &encoded); err != nil {
		sim.t.Fatalf("decoding message: %v", err)
	}
	message, err := replica.DecodeMessage(&encoded)
	if err != nil {
		sim.t.Fatalf("decoding message: %v", err)
	}
	m.to.replica.Step(m.to.now(), message)
	m.to.settle()
}

func (sim *simulation) run(duration time.Duration) {
	for end := sim.now + duration; sim.now < end; {
		sim.advance()
	}
}

// runUntil runs the simulation until condition holds, and reports whether it did within limit.
func (sim *simulation) runUntil(limit time.Duration, condition func() bool) bool {
	for end := sim.now + limit; sim.now < end; {
		if condition() {
			return true
		}
		sim.advance()
	}
	return condition()
}

// propose proposes a new command to a node and returns the command.
func (sim *simulation) propose(n *node) (string, error) {
	sim.proposed++
	command := fmt.Sprintf("p%d", sim.proposed)
	_, _, err := n.replica.Propose(n.now(), []byte(command))
	n.settle()
	return command, err
}

// leader returns the running node that holds the lease, or nil if there is none.
func (sim *simulation) leader() *node {
	for _, n := range sim.nodes {
		if n.up() && n.replica.HoldsLease(n.now()) {
			return n
		}
	}
	return nil
}

// heal removes all network faults and planned crashes, and starts all stopped or frozen nodes.
func (sim *simulation) heal() {
	sim.clearFaults()
	sim.startAll()
}

// clearFaults removes all network faults and planned crashes.
func (sim *simulation) clearFaults() {
	clear(sim.cutLinks)
	sim.lossRate, sim.duplicateRate, sim.maxDelay = 0, 0, 0
	for _, n := range sim.nodes {
		n.crashAt = noCrash
	}
}

// checkLeaders checks that each term has one leader, that leases don't overlap, and that the holder of the lease has
// applied all acknowledged entries.
func (sim *simulation) checkLeaders() {
	leaseHolder := ""
	for _, n := range sim.nodes {
		if n.replica == nil {
			continue
		}
		if n.replica.Phase() == replica.Leader {
			term := n.replica.HardState().Term
			if other, known := sim.leaderOfTerm[term]; known && other != n.id {
				sim.t.Fatalf("two leaders in term %d", term)
			}
			sim.leaderOfTerm[term] = n.id
		}
		if n.replica.HoldsLease(n.now()) {
			if leaseHolder != "" {
				sim.t.Fatalf("%s and %s hold leases at the same time", leaseHolder, n.name)
			}
			leaseHolder = n.name
			if applied := n.replica.Applied(); applied < sim.acknowledged {
				sim.t.Fatalf("%s holds a lease but has applied only %d of %d acknowledged entries", n.name, applied, sim.acknowledged)
			}
		}
	}
}

// checkCommitted checks that a node applies the same entry at an index as the others.
func (sim *simulation) checkCommitted(n *node, entry replica.Entry) {
	if n.replica.Phase() == replica.Leader {
		sim.acknowledged = max(sim.acknowledged, entry.Index)
	}
	known, ok := sim.committed[entry.Index]
	if !ok {
		sim.committed[entry.Index] = entry
		return
	}
	if known.Term != entry.Term || known.Kind != entry.Kind || string(known.Command) != string(entry.Command) {
		sim.t.Fatalf("%s applied %v at index %d, but %v was committed there", n.name, entry, entry.Index, known)
	}
}

// checkPrefix checks that an installed snapshot contains exactly the committed commands up to index.
func (sim *simulation) checkPrefix(n *node, index uint64) {
	var commands []string
	for i := uint64(1); i <= index; i++ {
		entry, ok := sim.committed[i]
		if !ok {
			sim.t.Fatalf("%s installed a snapshot at index %d, but entry %d was never committed", n.name, index, i)
		}
		if entry.Kind == replica.CommandEntry {
			commands = append(commands, string(entry.Command))
		}
	}
	if !slices.Equal(commands, n.commands) {
		sim.t.Fatalf("%s installed commands %v at index %d, want the committed %v", n.name, n.commands, index, commands)
	}
}

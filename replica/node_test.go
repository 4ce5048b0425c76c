package replica_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/replica"
)

const (
	electionTimeout    = 200 * time.Millisecond
	heartbeat          = 40 * time.Millisecond
	compactionInterval = 8
	retainedEntries    = 4
	snapshotPieceBytes = 24
	appendMessageBytes = 300
)

// crashPoint is a stage of the handling of a Ready after which a node crashes.
type crashPoint string

const (
	noCrash       crashPoint = "none"
	afterPrompt   crashPoint = "after-prompt"
	afterPersist  crashPoint = "after-persist"
	afterMessages crashPoint = "after-messages"
)

// disk is the state that survives a crash.
type disk struct {
	snapshot []byte
	records  [][]byte
}

// node is a replica with its disk, its clock and a state machine that stores all commands.
type node struct {
	sim      *simulation
	name     string
	address  netip.AddrPort
	id       replica.ID
	disk     disk
	replica  *replica.Replica
	frozen   bool
	diskFull bool
	// stalled is the work that waits for room on the disk. Meanwhile the node drops all messages.
	stalled     *replica.Ready
	crashAt     crashPoint
	clockOffset time.Duration
	clockRate   float64
	commands    []string
	lastAt      time.Time
	join        bool
}

func (n *node) now() time.Time {
	return time.Unix(1_700_000_000, 0).Add(n.clockOffset + time.Duration(float64(n.sim.now)*n.clockRate))
}

func (n *node) up() bool {
	return n.replica != nil && !n.frozen && n.stalled == nil
}

func (n *node) start() {
	recovery, err := replica.Recover(n.disk.snapshot, n.disk.records)
	if err != nil {
		n.sim.t.Fatalf("%s: %v", n.name, err)
	}
	if recovery.ID == 0 {
		n.id = replica.ID(n.sim.random.Uint64() | 1)
		n.disk.records = [][]byte{replica.EncodeIdentityRecord(n.id, n.name)}
	}
	n.commands = strings.Fields(string(recovery.Persisted.Snapshot.Body))
	n.lastAt = recovery.Persisted.Snapshot.At
	n.replica, err = replica.New(n.now(), n.name, n.id, n.address, recovery.Persisted,
		replica.WithElectionTimeout(electionTimeout),
		replica.WithHeartbeat(heartbeat),
		replica.WithPeers(slices.Clone(n.sim.peers)...),
		replica.WithJoin(n.join),
		replica.WithOpenMembership(n.sim.openSize),
		replica.WithRandom(rand.New(rand.NewPCG(n.sim.random.Uint64(), 0))),
		replica.WithRetainedEntries(retainedEntries),
		replica.WithPieceBytes(snapshotPieceBytes),
		replica.WithAppendBytes(appendMessageBytes))
	if err != nil {
		n.sim.t.Fatalf("%s: %v", n.name, err)
	}
	n.crashAt = noCrash
}

func (n *node) crash() {
	n.replica = nil
	n.frozen = false
	n.stalled = nil
}

// freeDisk ends a full disk and resumes the work that waited for it.
func (n *node) freeDisk() {
	n.diskFull = false
	if n.stalled == nil || n.frozen {
		return
	}
	ready := *n.stalled
	n.stalled = nil
	ready.Immediate = nil
	n.handle(ready)
	n.settle()
}

// settle does the replica's work until none is left or the node crashes, and compacts the log when it is due.
func (n *node) settle() {
	for n.up() {
		ready := n.replica.Ready()
		if ready.Empty() {
			n.compact()
			return
		}
		n.handle(ready)
		n.crashAt = noCrash
	}
}

func (n *node) handle(ready replica.Ready) {
	if n.diskFull && (ready.HardState != nil || ready.Snapshot != nil || len(ready.Entries) > 0) {
		n.sim.send(n, ready.Immediate)
		n.stalled = &ready
		return
	}
	for _, stage := range []struct {
		do    func()
		point crashPoint
	}{
		{func() { n.sim.send(n, ready.Immediate) }, afterPrompt},
		{func() { n.persist(ready) }, afterPersist},
		{func() { n.sim.send(n, ready.Messages) }, afterMessages},
	} {
		stage.do()
		if n.crashAt == stage.point {
			n.crash()
			return
		}
	}
	for _, entry := range ready.Committed {
		n.apply(entry)
	}
	n.replica.Advance(n.now(), ready)
}

func (n *node) persist(ready replica.Ready) {
	if ready.Snapshot != nil {
		n.saveSnapshot(*ready.Snapshot)
		n.commands = strings.Fields(string(ready.Snapshot.Body))
		n.sim.checkPrefix(n, ready.Snapshot.Index)
		n.lastAt = ready.Snapshot.At
	}
	if ready.HardState != nil {
		n.disk.records = append(n.disk.records, replica.EncodeHardStateRecord(*ready.HardState))
	}
	for _, entry := range ready.Entries {
		n.disk.records = append(n.disk.records, replica.EncodeEntryRecord(entry))
	}
}

func (n *node) apply(entry replica.Entry) {
	n.sim.checkCommitted(n, entry)
	if entry.At.Before(n.lastAt) {
		n.sim.t.Fatalf("%s: the time of entry %d is before that of the previous entry", n.name, entry.Index)
	}
	n.lastAt = entry.At
	if entry.Kind == replica.CommandEntry {
		n.commands = append(n.commands, string(entry.Command))
	}
}

func (n *node) compact() {
	status := n.replica.Status(n.now())
	if status.Applied < status.SnapshotIndex+compactionInterval {
		return
	}
	snapshot, _ := n.replica.AppliedSnapshot()
	snapshot.Body = []byte(strings.Join(n.commands, " "))
	n.saveSnapshot(snapshot)
	n.replica.Compact(snapshot)
}

func (n *node) saveSnapshot(snapshot replica.Snapshot) {
	encoded, err := proto.Marshal(replica.EncodeSnapshot(snapshot))
	if err != nil {
		n.sim.t.Fatalf("%s: %v", n.name, err)
	}
	records := [][]byte{
		replica.EncodeIdentityRecord(n.id, n.name),
		replica.EncodeHardStateRecord(n.replica.HardState()),
	}
	for _, entry := range n.replica.EntriesAfter(snapshot.Index) {
		records = append(records, replica.EncodeEntryRecord(entry))
	}
	n.disk = disk{snapshot: encoded, records: records}
}

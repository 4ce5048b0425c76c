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
	electionTimeout   = 200 * time.Millisecond
	heartbeat         = 40 * time.Millisecond
	compactAfter      = 8
	retainedEntries   = 4
	snapshotPiece     = 24
	appendMessageSize = 300
)

// crashPoint is a place within the handling of a Ready.
type crashPoint string

const (
	noCrash       crashPoint = "none"
	afterPrompt   crashPoint = "after-prompt"
	afterPersist  crashPoint = "after-persist"
	afterMessages crashPoint = "after-messages"
)

// disk is what lasts over a crash.
type disk struct {
	snapshot []byte
	records  [][]byte
}

// node is a replica with its disk, its clock and a machine that keeps all commands.
type node struct {
	world   *world
	name    string
	address netip.AddrPort
	id      replica.ID
	disk    disk
	replica *replica.Replica
	frozen  bool
	crashAt crashPoint
	offset  time.Duration
	rate    float64
	words   []string
	lastAt  time.Time
	join    bool
}

func (n *node) now() time.Time {
	return time.Unix(1_700_000_000, 0).Add(n.offset + time.Duration(float64(n.world.now)*n.rate))
}

func (n *node) up() bool {
	return n.replica != nil && !n.frozen
}

func (n *node) start() {
	recovery, err := replica.Recover(n.disk.snapshot, n.disk.records)
	if err != nil {
		n.world.t.Fatalf("%s: %v", n.name, err)
	}
	if recovery.ID == 0 {
		n.id = replica.ID(n.world.random.Uint64() | 1)
		n.disk.records = [][]byte{replica.EncodeIdentityRecord(n.id, n.name)}
	}
	n.words = strings.Fields(string(recovery.Persisted.Snapshot.Body))
	n.lastAt = recovery.Persisted.Snapshot.At
	n.replica, err = replica.New(n.now(), n.name, n.id, n.address, recovery.Persisted,
		replica.WithElectionTimeout(electionTimeout),
		replica.WithHeartbeat(heartbeat),
		replica.WithPeers(slices.Clone(n.world.peers)...),
		replica.WithJoin(n.join),
		replica.WithOpenMembership(n.world.openSize),
		replica.WithRandom(rand.New(rand.NewPCG(n.world.random.Uint64(), 0))),
		replica.WithRetainedEntries(retainedEntries),
		replica.WithPieceBytes(snapshotPiece),
		replica.WithAppendBytes(appendMessageSize))
	if err != nil {
		n.world.t.Fatalf("%s: %v", n.name, err)
	}
	n.crashAt = noCrash
}

func (n *node) crash() {
	n.replica = nil
	n.frozen = false
}

// settle does what the replica asks for, up to the crash point.
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
	for _, stage := range []struct {
		do    func()
		point crashPoint
	}{
		{func() { n.world.send(n, ready.Prompt) }, afterPrompt},
		{func() { n.persist(ready) }, afterPersist},
		{func() { n.world.send(n, ready.Messages) }, afterMessages},
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
		n.words = strings.Fields(string(ready.Snapshot.Body))
		n.world.checkPrefix(n, ready.Snapshot.Index)
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
	n.world.checkCommitted(n, entry)
	if entry.At.Before(n.lastAt) {
		n.world.t.Fatalf("%s: time decreased at entry %d", n.name, entry.Index)
	}
	n.lastAt = entry.At
	if entry.Kind == replica.CommandEntry {
		n.words = append(n.words, string(entry.Command))
	}
}

func (n *node) compact() {
	status := n.replica.Status(n.now())
	if status.Applied < status.SnapshotIndex+compactAfter {
		return
	}
	snapshot, _ := n.replica.AppliedSnapshot()
	snapshot.Body = []byte(strings.Join(n.words, " "))
	n.saveSnapshot(snapshot)
	n.replica.Compact(snapshot)
}

func (n *node) saveSnapshot(snapshot replica.Snapshot) {
	encoded, err := proto.Marshal(replica.EncodeSnapshot(snapshot))
	if err != nil {
		n.world.t.Fatalf("%s: %v", n.name, err)
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

package replica

import (
	"fmt"
	"net/netip"
	"time"
)

// A Replica is one replica of the replicated log. It is not safe for concurrent use.
type Replica struct {
	options
	self               Member
	hardState          HardState
	persistedHardState HardState
	phase              Phase
	leader             ID
	log                log
	configurations     configurations
	snapshot           Snapshot
	lastEntryAt        time.Time

	persistedIndex uint64
	commitIndex    uint64
	appliedIndex   uint64

	// leaderContactAt is when the last message of a leader arrived, or else when the replica started.
	leaderContactAt    time.Time
	electionDeadline   time.Time
	nextAnnouncementAt time.Time
	votes              map[ID]bool
	emptyPeers         map[string]ID
	// learnedAddresses holds the addresses from which members have sent messages since the start.
	learnedAddresses  map[ID]netip.AddrPort
	applyPaused       bool
	incoming          *incomingSnapshot
	snapshotToInstall *Snapshot
	leadership        *leadership
	immediate         []Outbound
	messages          []Outbound
}

// New returns a replica that resumes from the state on its disk. It returns ErrInvalid if the entries have gaps, or
// terms that decrease or exceed that of the hard state, and ErrSuperseded if the replica has stopped for good. For an
// empty disk, id must be new, and the replica belongs to no cluster until it founds or joins one.
func New(now time.Time, name string, id ID, address netip.AddrPort, disk Persisted, opts ...Option) (*Replica, error) {
	if supersededBy := disk.HardState.SupersededBy; supersededBy != 0 {
		return nil, supersededError(disk.HardState.Lineage.Generation, supersededBy)
	}
	r := &Replica{
		options:            newOptions(opts),
		self:               Member{Name: name, ID: id, Address: address},
		hardState:          disk.HardState,
		persistedHardState: disk.HardState,
		phase:              Follower,
		snapshot:           disk.Snapshot,
		lastEntryAt:        disk.Snapshot.At,
		persistedIndex:     disk.Snapshot.Index,
		commitIndex:        disk.Snapshot.Index,
		appliedIndex:       disk.Snapshot.Index,
		emptyPeers:         map[string]ID{},
		learnedAddresses:   map[ID]netip.AddrPort{},
	}
	r.log.reset(disk.Snapshot.Index, disk.Snapshot.Term)
	r.configurations = configurations{{index: disk.Snapshot.Index, members: disk.Snapshot.Members}}
	if err := r.loadEntries(disk.Entries); err != nil {
		return nil, err
	}
	r.recordLeaderContact(now)
	return r, nil
}

func (r *Replica) loadEntries(entries []Entry) error {
	for _, entry := range entries {
		if entry.Index != r.log.lastIndex()+1 || entry.Term < r.log.lastTerm() || entry.Term > r.hardState.Term {
			return fmt.Errorf("loading entry %d of term %d after entry %d of term %d in term %d: %w",
				entry.Index, entry.Term, r.log.lastIndex(), r.log.lastTerm(), r.hardState.Term, ErrInvalid)
		}
		r.append(entry)
	}
	r.persistedIndex = r.log.lastIndex()
	return nil
}

// Members returns the membership of the newest entry, committed or not.
func (r *Replica) Members() Members {
	return r.configurations.latest().members
}

// MembersAt returns the membership in force at an index, which must not be older than the snapshot.
func (r *Replica) MembersAt(index uint64) Members {
	return r.configurations.membersAt(index)
}

// HardState returns the current hard state.
func (r *Replica) HardState() HardState {
	return r.hardState
}

// EntriesAfter returns the entries after an index, which must not be older than the snapshot.
func (r *Replica) EntriesAfter(index uint64) []Entry {
	return r.log.entries[index-r.log.baseIndex:]
}

// HeldBytes returns the size of the log's entries in memory.
func (r *Replica) HeldBytes() int64 {
	return r.log.bytes
}

// Compact records a persisted snapshot of applied entries and removes the older entries, except for the newest ones within
// the limits of WithRetainedEntries and WithRetainedBytes. It ignores a snapshot that is not newer than the previous one, or covers entries not yet
// applied.
func (r *Replica) Compact(snapshot Snapshot) {
	if snapshot.Index <= r.snapshot.Index || snapshot.Index > r.appliedIndex {
		return
	}
	r.snapshot = snapshot
	r.log.compact(r.log.retainedFrom(snapshot.Index, r.retainedEntries, r.retainedBytes))
	r.configurations.compact(snapshot.Index)
}

func (r *Replica) append(entries ...Entry) {
	r.log.append(entries...)
	r.configurations.append(entries...)
	r.lastEntryAt = entries[len(entries)-1].At
}

func (r *Replica) truncate(index uint64) {
	r.log.truncate(index)
	r.configurations.truncate(index)
	r.persistedIndex = min(r.persistedIndex, index)
	r.lastEntryAt = r.snapshot.At
	if index > r.log.baseIndex {
		r.lastEntryAt = r.log.entryAt(index).At
	}
}

// recordLeaderContact records a message of the leader at now and restarts the election timer.
func (r *Replica) recordLeaderContact(now time.Time) {
	r.leaderContactAt = now
	r.resetElectionTimer(now)
}

// resetElectionTimer sets a random deadline between one and two election timeouts from now.
func (r *Replica) resetElectionTimer(now time.Time) {
	r.electionDeadline = now.Add(r.electionTimeout + time.Duration(r.random.Int64N(int64(r.electionTimeout))))
}

// becomeFollower follows a leader in a term; a leader of zero is unknown.
func (r *Replica) becomeFollower(now time.Time, term uint64, leader ID) {
	if term > r.hardState.Term {
		r.hardState.Term = term
		r.hardState.Vote = 0
	}
	if r.phase != Follower || leader == 0 {
		r.resetElectionTimer(now)
	}
	r.phase = Follower
	r.leader = leader
	r.leadership = nil
	r.votes = nil
}

// send queues a message to a member, to be sent after the state is persisted.
func (r *Replica) send(to ID, term uint64, body Body) {
	member, ok := r.Members().FindByID(to)
	if !ok {
		return
	}
	r.sendTo(r.addressOf(member), Message{To: to, Term: term, Body: body})
}

// sendTo queues a message to an address and sets its sender.
func (r *Replica) sendTo(address netip.AddrPort, m Message) {
	m.From = r.self.ID
	m.ReplyTo = r.self.Address
	m.Cluster = r.hardState.Cluster
	m.Lineage = r.hardState.Lineage
	r.messages = append(r.messages, Outbound{Address: address, Message: m})
}

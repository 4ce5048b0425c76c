package replica

import (
	"fmt"
	"net/netip"
	"time"
)

// A Replica is called by one goroutine.
type Replica struct {
	options
	self           Member
	hard           HardState
	hardSaved      HardState
	phase          Phase
	leader         ID
	log            log
	configurations configurations
	snapshot       Snapshot
	lastAt         time.Time

	stable  uint64
	commit  uint64
	applied uint64

	// heardAt is when a leader was last heard from, or the start.
	heardAt    time.Time
	electionAt time.Time
	announceAt time.Time
	votes      map[ID]bool
	announced  map[string]ID
	// learned are the addresses that members sent from since the start.
	learned     map[ID]netip.AddrPort
	applyPaused bool
	installing  *incoming
	installed   *Snapshot
	leading     *leadership
	prompt      []Outbound
	messages    []Outbound
}

// New returns a replica that goes on from what its disk holds, ErrInvalid where that has gaps, or ErrSuperseded.
// A replica whose disk was empty has a new id and belongs to no cluster until it founds or joins one.
func New(now time.Time, name string, id ID, address netip.AddrPort, disk Persisted, opts ...Option) (*Replica, error) {
	if newer := disk.HardState.Superseded; newer != 0 {
		return nil, supersededBy(disk.HardState.Lineage.Generation, newer)
	}
	r := &Replica{
		options:   newOptions(opts),
		self:      Member{Name: name, ID: id, Address: address},
		hard:      disk.HardState,
		hardSaved: disk.HardState,
		phase:     Follower,
		snapshot:  disk.Snapshot,
		lastAt:    disk.Snapshot.At,
		stable:    disk.Snapshot.Index,
		commit:    disk.Snapshot.Index,
		applied:   disk.Snapshot.Index,
		announced: map[string]ID{},
		learned:   map[ID]netip.AddrPort{},
	}
	r.log.reset(disk.Snapshot.Index, disk.Snapshot.Term)
	r.configurations = configurations{{index: disk.Snapshot.Index, members: disk.Snapshot.Members}}
	if err := r.load(disk.Entries); err != nil {
		return nil, err
	}
	r.heard(now)
	return r, nil
}

func (r *Replica) load(entries []Entry) error {
	for _, entry := range entries {
		if entry.Index != r.log.last()+1 || entry.Term < r.log.lastTerm() || entry.Term > r.hard.Term {
			return fmt.Errorf("loading entry %d of term %d after entry %d of term %d in term %d: %w",
				entry.Index, entry.Term, r.log.last(), r.log.lastTerm(), r.hard.Term, ErrInvalid)
		}
		r.append(entry)
	}
	r.stable = r.log.last()
	return nil
}

// Members returns the members by the newest entry that the replica holds.
func (r *Replica) Members() Members {
	return r.configurations.latest().members
}

// MembersAt returns the members in force at an index that is not older than the snapshot.
func (r *Replica) MembersAt(index uint64) Members {
	return r.configurations.at(index)
}

// HardState returns the current hard state.
func (r *Replica) HardState() HardState {
	return r.hard
}

// EntriesAfter returns the held entries after an index that is not older than the snapshot.
func (r *Replica) EntriesAfter(index uint64) []Entry {
	return r.log.entries[index-r.log.baseIndex:]
}

// Compact tells that a snapshot of applied entries lasts; older entries are dropped but for those retained.
func (r *Replica) Compact(snapshot Snapshot) {
	if snapshot.Index <= r.snapshot.Index || snapshot.Index > r.applied {
		return
	}
	r.snapshot = snapshot
	if snapshot.Index > r.retained {
		r.log.compact(snapshot.Index - r.retained)
	}
	r.configurations.compact(snapshot.Index)
}

func (r *Replica) append(entries ...Entry) {
	r.log.append(entries...)
	r.configurations.append(entries...)
	r.lastAt = entries[len(entries)-1].At
}

func (r *Replica) truncate(index uint64) {
	r.log.truncate(index)
	r.configurations.truncate(index)
	r.stable = min(r.stable, index)
	r.lastAt = r.snapshot.At
	if index > r.log.baseIndex {
		r.lastAt = r.log.at(index).At
	}
}

// heard starts the wait for an election anew.
func (r *Replica) heard(now time.Time) {
	r.heardAt = now
	r.deferElection(now)
}

func (r *Replica) deferElection(now time.Time) {
	r.electionAt = now.Add(r.electionTimeout + time.Duration(r.random.Int64N(int64(r.electionTimeout))))
}

func (r *Replica) follow(now time.Time, term uint64, leader ID) {
	if term > r.hard.Term {
		r.hard.Term = term
		r.hard.Vote = 0
	}
	if r.phase != Follower || leader == 0 {
		r.deferElection(now)
	}
	r.phase = Follower
	r.leader = leader
	r.leading = nil
	r.votes = nil
}

func (r *Replica) send(to ID, term uint64, body Body) {
	member, ok := r.Members().Find(to)
	if !ok {
		return
	}
	r.sendTo(r.addressOf(member), Message{To: to, Term: term, Body: body})
}

func (r *Replica) sendTo(address netip.AddrPort, m Message) {
	m.From = r.self.ID
	m.ReplyTo = r.self.Address
	m.Cluster = r.hard.Cluster
	m.Lineage = r.hard.Lineage
	r.messages = append(r.messages, Outbound{Address: address, Message: m})
}

package replica

import "time"

// leadership is the state that a replica keeps only while it is the leader.
type leadership struct {
	term            uint64
	firstIndex      uint64
	progress        map[ID]*progress
	rounds          heartbeatRounds
	nextHeartbeatAt time.Time
	joiners         map[string]joiner
	// successor is the voter to which the leadership is being transferred; zero for none.
	successor         ID
	leaseReleased     bool
	transferStartedAt time.Time
}

// joiner is an empty replica that has announced itself.
type joiner struct {
	member      Member
	announcedAt time.Time
}

func (r *Replica) becomeLeader(now time.Time) {
	r.phase = Leader
	r.leader = r.self.ID
	r.votes = nil
	r.leadership = &leadership{
		term:       r.hardState.Term,
		firstIndex: r.log.lastIndex() + 1,
		progress:   map[ID]*progress{},
		joiners:    map[string]joiner{},
	}
	r.trackMembers(now)
	r.appendAsLeader(now, EmptyEntry, nil, nil)
	r.broadcastHeartbeat(now)
}

// trackMembers starts tracking the progress of new members and stops tracking that of removed ones.
func (r *Replica) trackMembers(now time.Time) {
	for _, member := range r.Members() {
		if _, tracked := r.leadership.progress[member.ID]; !tracked && member.ID != r.self.ID {
			r.leadership.progress[member.ID] = newProgress(now, r.log.lastIndex()+1)
		}
	}
	for id := range r.leadership.progress {
		if _, isMember := r.Members().FindByID(id); !isMember {
			delete(r.leadership.progress, id)
		}
	}
}

// appendAsLeader appends a new entry of the current term and returns its index. Its time is now, but never earlier than
// that of the previous entry.
func (r *Replica) appendAsLeader(now time.Time, kind EntryKind, command []byte, members Members) uint64 {
	at := now
	if at.Before(r.lastEntryAt) {
		at = r.lastEntryAt
	}
	entry := Entry{
		Index: r.log.lastIndex() + 1, Term: r.hardState.Term, At: at,
		Kind: kind, Command: command, Members: members,
	}
	r.append(entry)
	if kind == MembersEntry {
		r.trackMembers(now)
	}
	return entry.Index
}

// Propose appends a command and returns its index and term. It fails with ErrNotLeader, ErrForming or ErrBusy, and then
// has appended nothing.
func (r *Replica) Propose(now time.Time, command []byte) (index, term uint64, err error) {
	if r.phase != Leader || r.leadership.successor != 0 {
		return 0, 0, ErrNotLeader
	}
	members := r.Members()
	if members.countRole(Voter) <= members.countRole(Returning) {
		return 0, 0, ErrForming
	}
	if r.log.lastIndex()-r.commitIndex >= maxUncommittedEntries {
		return 0, 0, ErrBusy
	}
	return r.appendAsLeader(now, CommandEntry, command, nil), r.hardState.Term, nil
}

// tickLeader steps down if a quorum of voters is inactive or a leadership transfer has timed out. Otherwise, once a
// heartbeat interval, it looks for a membership change to propose and sends heartbeats.
func (r *Replica) tickLeader(now time.Time) {
	if !r.hasActiveQuorum(now) {
		r.becomeFollower(now, r.hardState.Term, 0)
		return
	}
	if r.transferOverdue(now) {
		r.becomeFollower(now, r.hardState.Term, 0)
		return
	}
	if now.Before(r.leadership.nextHeartbeatAt) {
		return
	}
	r.changeMembersOnTick(now)
	r.broadcastHeartbeat(now)
}

// hasActiveQuorum reports whether a quorum of voters, this replica included, was active within the election timeout.
func (r *Replica) hasActiveQuorum(now time.Time) bool {
	active := 0
	for _, member := range r.Members() {
		if member.Role == Voter && (member.ID == r.self.ID || r.isActive(now, member.ID, 1)) {
			active++
		}
	}
	return active >= r.Members().Quorum()
}

// isActive reports whether the last contact with a member was within the given number of election timeouts.
func (r *Replica) isActive(now time.Time, id ID, timeouts time.Duration) bool {
	p, ok := r.leadership.progress[id]
	return ok && now.Before(p.lastContactAt.Add(timeouts*r.electionTimeout))
}

package replica

import "time"

// leadership is the state of a leader in its term.
type leadership struct {
	term        uint64
	firstIndex  uint64
	progress    map[ID]*progress
	rounds      rounds
	heartbeatAt time.Time
	joiners     map[string]joiner
	// successor is asked to campaign once its log is whole; zero for none.
	successor  ID
	abdicated  bool
	transferAt time.Time
}

// joiner is an empty replica that announced itself.
type joiner struct {
	member  Member
	heardAt time.Time
}

func (r *Replica) lead(now time.Time) {
	r.phase = Leader
	r.leader = r.self.ID
	r.votes = nil
	r.leading = &leadership{
		term:       r.hard.Term,
		firstIndex: r.log.last() + 1,
		progress:   map[ID]*progress{},
		joiners:    map[string]joiner{},
	}
	r.trackMembers(now)
	r.extend(now, EmptyEntry, nil, nil)
	r.heartbeatAll(now)
}

// trackMembers keeps one progress for each other member.
func (r *Replica) trackMembers(now time.Time) {
	for _, member := range r.Members() {
		if _, tracked := r.leading.progress[member.ID]; !tracked && member.ID != r.self.ID {
			r.leading.progress[member.ID] = newProgress(now, r.log.last()+1)
		}
	}
	for id := range r.leading.progress {
		if _, member := r.Members().Find(id); !member {
			delete(r.leading.progress, id)
		}
	}
}

// extend appends an entry of the leader's own and returns its index.
func (r *Replica) extend(now time.Time, kind EntryKind, command []byte, members Members) uint64 {
	at := now
	if at.Before(r.lastAt) {
		at = r.lastAt
	}
	entry := Entry{
		Index: r.log.last() + 1, Term: r.hard.Term, At: at,
		Kind: kind, Command: command, Members: members,
	}
	r.append(entry)
	if kind == MembersEntry {
		r.trackMembers(now)
	}
	return entry.Index
}

// Propose appends a command and returns where, or ErrNotLeader, ErrForming or ErrBusy with nothing appended.
func (r *Replica) Propose(now time.Time, command []byte) (index, term uint64, err error) {
	if r.phase != Leader || r.leading.successor != 0 {
		return 0, 0, ErrNotLeader
	}
	members := r.Members()
	if members.count(Voter) <= members.count(Returning) {
		return 0, 0, ErrForming
	}
	if r.log.last()-r.commit >= maxUncommittedEntries {
		return 0, 0, ErrBusy
	}
	return r.extend(now, CommandEntry, command, nil), r.hard.Term, nil
}

func (r *Replica) tickLeader(now time.Time) {
	if !r.hearsQuorum(now) {
		r.follow(now, r.hard.Term, 0)
		return
	}
	if r.transferOverdue(now) {
		r.follow(now, r.hard.Term, 0)
		return
	}
	if now.Before(r.leading.heartbeatAt) {
		return
	}
	r.changeMembersOnTick(now)
	r.heartbeatAll(now)
}

func (r *Replica) hearsQuorum(now time.Time) bool {
	heard := 0
	for _, member := range r.Members() {
		if member.Role == Voter && (member.ID == r.self.ID || r.active(now, member.ID, 1)) {
			heard++
		}
	}
	return heard >= r.Members().Quorum()
}

// active reports whether a member was heard from within some election timeouts.
func (r *Replica) active(now time.Time, id ID, timeouts time.Duration) bool {
	p, ok := r.leading.progress[id]
	return ok && now.Before(p.heardAt.Add(timeouts*r.electionTimeout))
}

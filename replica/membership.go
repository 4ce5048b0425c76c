package replica

import "time"

// AddLearner proposes an announced empty replica as a learner.
func (r *Replica) AddLearner(now time.Time, name string) (index, term uint64, err error) {
	if err := r.mayChangeMembers(); err != nil {
		return 0, 0, err
	}
	if _, exists := r.Members().Named(name); exists {
		return 0, 0, ErrMemberExists
	}
	joining, ok := r.leading.joiners[name]
	if !ok || !now.Before(joining.heardAt.Add(r.electionTimeout)) {
		return 0, 0, ErrNotAnnounced
	}
	member := joining.member
	member.Role = Learner
	return r.proposeMembers(now, r.Members().with(member))
}

// Promote proposes a learner that has caught up as a voter.
func (r *Replica) Promote(now time.Time, name string) (index, term uint64, err error) {
	if err := r.mayChangeMembers(); err != nil {
		return 0, 0, err
	}
	member, ok := r.Members().Named(name)
	if !ok || member.Role == Voter {
		return 0, 0, ErrUnknownMember
	}
	if !r.caughtUp(now, member.ID) {
		return 0, 0, ErrNotCaughtUp
	}
	member.Role = Voter
	return r.proposeMembers(now, r.Members().with(member))
}

// Remove proposes the members without one.
func (r *Replica) Remove(now time.Time, name string) (index, term uint64, err error) {
	if err := r.mayChangeMembers(); err != nil {
		return 0, 0, err
	}
	member, ok := r.Members().Named(name)
	if !ok {
		return 0, 0, ErrUnknownMember
	}
	if member.Role == Voter && r.Members().count(Voter) == 1 {
		return 0, 0, ErrLastVoter
	}
	return r.proposeMembers(now, r.Members().without(name))
}

// mayChangeMembers allows one change at a time, and none before an entry of the leader's own term is committed.
func (r *Replica) mayChangeMembers() error {
	if r.phase != Leader || r.leading.successor != 0 {
		return ErrNotLeader
	}
	if r.configurations.latest().index > r.commit || r.commit < r.leading.firstIndex {
		return ErrChangePending
	}
	return nil
}

func (r *Replica) proposeMembers(now time.Time, members Members) (index, term uint64, err error) {
	return r.extend(now, MembersEntry, nil, members), r.hard.Term, nil
}

func (r *Replica) caughtUp(now time.Time, id ID) bool {
	p, ok := r.leading.progress[id]
	return ok && p.transfer == nil && !p.probing && p.match+promotionLag >= r.log.last() && r.active(now, id, 1)
}

// changeMembersOnTick promotes a returning member or replaces a silent one by the empty replica of its name.
func (r *Replica) changeMembersOnTick(now time.Time) {
	if r.mayChangeMembers() != nil {
		return
	}
	for _, member := range r.Members() {
		if member.Role == Returning && r.caughtUp(now, member.ID) {
			member.Role = Voter
			_, _, _ = r.proposeMembers(now, r.Members().with(member))
			return
		}
	}
	for _, member := range r.Members() {
		joining, ok := r.leading.joiners[member.Name]
		if ok && r.replaces(now, joining, member) {
			replacement := joining.member
			replacement.Role = returnedRole(member.Role)
			_, _, _ = r.proposeMembers(now, r.Members().with(replacement))
			return
		}
	}
	if r.openSize > 0 && (r.admitOnTick(now) || r.retireOnTick(now)) {
		return
	}
	r.recordMove(now)
}

// replaces reports whether an empty replica has taken the place of a member whose disk is lost.
func (r *Replica) replaces(now time.Time, joining joiner, member Member) bool {
	return member.ID != r.self.ID && member.ID != joining.member.ID &&
		now.Before(joining.heardAt.Add(r.electionTimeout)) && !r.active(now, member.ID, silentTimeouts)
}

func returnedRole(role Role) Role {
	if role == Learner {
		return Learner
	}
	return Returning
}

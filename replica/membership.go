package replica

import "time"

// AddLearner proposes to add an announced empty replica as a learner, and returns the index and term of the entry. It
// fails with ErrNotLeader, ErrChangePending, ErrMemberExists or ErrNotAnnounced.
func (r *Replica) AddLearner(now time.Time, name string) (index, term uint64, err error) {
	if err := r.checkMembershipChange(); err != nil {
		return 0, 0, err
	}
	if _, exists := r.Members().FindByName(name); exists {
		return 0, 0, ErrMemberExists
	}
	joining, ok := r.leadership.joiners[name]
	if !ok || !now.Before(joining.announcedAt.Add(r.electionTimeout)) {
		return 0, 0, ErrNotAnnounced
	}
	member := joining.member
	member.Role = Learner
	return r.proposeMembers(now, r.Members().with(member))
}

// Promote proposes to make a learner that has caught up a voter, and returns the index and term of the entry. It fails
// with ErrNotLeader, ErrChangePending, ErrUnknownMember or ErrNotCaughtUp.
func (r *Replica) Promote(now time.Time, name string) (index, term uint64, err error) {
	if err := r.checkMembershipChange(); err != nil {
		return 0, 0, err
	}
	member, ok := r.Members().FindByName(name)
	if !ok || member.Role == Voter {
		return 0, 0, ErrUnknownMember
	}
	if !r.caughtUp(now, member.ID) {
		return 0, 0, ErrNotCaughtUp
	}
	member.Role = Voter
	return r.proposeMembers(now, r.Members().with(member))
}

// Remove proposes to remove a member, and returns the index and term of the entry. It fails with ErrNotLeader,
// ErrChangePending, ErrUnknownMember or ErrLastVoter.
func (r *Replica) Remove(now time.Time, name string) (index, term uint64, err error) {
	if err := r.checkMembershipChange(); err != nil {
		return 0, 0, err
	}
	member, ok := r.Members().FindByName(name)
	if !ok {
		return 0, 0, ErrUnknownMember
	}
	if member.Role == Voter && r.Members().countRole(Voter) == 1 {
		return 0, 0, ErrLastVoter
	}
	return r.proposeMembers(now, r.Members().without(name))
}

// checkMembershipChange returns an error if no membership change can start. Only one change may be uncommitted at a
// time, and an entry of the leader's own term must be committed first.
func (r *Replica) checkMembershipChange() error {
	if r.phase != Leader || r.leadership.successor != 0 {
		return ErrNotLeader
	}
	if r.configurations.latest().index > r.commitIndex || r.commitIndex < r.leadership.firstIndex {
		return ErrChangePending
	}
	return nil
}

func (r *Replica) proposeMembers(now time.Time, members Members) (index, term uint64, err error) {
	return r.appendAsLeader(now, MembersEntry, nil, members), r.hardState.Term, nil
}

// caughtUp reports whether an active member lacks at most maxPromotionLag entries.
func (r *Replica) caughtUp(now time.Time, id ID) bool {
	p, ok := r.leadership.progress[id]
	return ok && p.snapshotTransfer == nil && !p.probing && p.match+maxPromotionLag >= r.log.lastIndex() && r.isActive(now, id, 1)
}

// changeMembersOnTick proposes at most one membership change. In order, it promotes a returning member that has caught
// up, replaces an inactive member by the empty replica of its name, admits or removes members of an open membership, or
// records the new address of a member.
func (r *Replica) changeMembersOnTick(now time.Time) {
	if r.checkMembershipChange() != nil {
		return
	}
	for _, member := range r.Members() {
		if member.Role == Returning && r.caughtUp(now, member.ID) && !r.awaitsRemoval(member.ID) {
			member.Role = Voter
			_, _, _ = r.proposeMembers(now, r.Members().with(member))
			return
		}
	}
	for _, member := range r.Members() {
		joining, ok := r.leadership.joiners[member.Name]
		if ok && r.canReplace(now, joining, member) {
			replacement := joining.member
			replacement.Role = replacementRole(member.Role)
			_, _, _ = r.proposeMembers(now, r.Members().with(replacement))
			return
		}
	}
	if r.openMembershipSize > 0 && (r.admitAnnounced(now) || r.removeInactive(now)) {
		return
	}
	r.proposeMovedAddress(now)
}

// canReplace reports whether an announced empty replica can replace a member, which is presumed to have lost its disk
// after lostMemberTimeouts without an answer.
func (r *Replica) canReplace(now time.Time, joining joiner, member Member) bool {
	return member.ID != r.self.ID && member.ID != joining.member.ID &&
		now.Before(joining.announcedAt.Add(r.electionTimeout)) && !r.isActive(now, member.ID, lostMemberTimeouts)
}

// replacementRole returns the role of an empty replica that replaces a member. The replacement of a voter has to catch
// up before it votes.
func replacementRole(role Role) Role {
	if role == Learner {
		return Learner
	}
	return Returning
}

package replica

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// admitAnnounced proposes to add an announced replica as a Returning member, and reports whether it proposed one.
func (r *Replica) admitAnnounced(now time.Time) bool {
	for _, name := range slices.Sorted(maps.Keys(r.leadership.joiners)) {
		joining := r.leadership.joiners[name]
		_, nameTaken := r.Members().FindByName(name)
		_, isMember := r.Members().FindByID(joining.member.ID)
		if nameTaken || isMember || !now.Before(joining.announcedAt.Add(r.electionTimeout)) {
			continue
		}
		admitted := joining.member
		admitted.Role = Returning
		_, _, _ = r.proposeMembers(now, r.Members().with(admitted))
		return true
	}
	return false
}

// awaitsRemoval reports whether a returning member of an open membership has to wait until a voter that has not answered
// since the member was added is either removed or answers. Otherwise voters that are lost and replaced one after another
// could add up to half of the voters before the first of them is removed.
func (r *Replica) awaitsRemoval(returning ID) bool {
	if r.openMembershipSize == 0 || r.Members().countRole(Voter) < r.openMembershipSize {
		return false
	}
	addedAt := r.leadership.progress[returning].trackedSince
	for _, member := range r.Members() {
		if member.Role == Voter && member.ID != r.self.ID && !r.leadership.progress[member.ID].lastContactAt.After(addedAt) {
			return true
		}
	}
	return false
}

// removeInactive proposes to remove the member that has been inactive for the longest time, and reports whether it
// proposed a removal. It removes voters only while there are more than openMembershipSize together with the returning
// members that have caught up, so that each commit is kept on as many disks.
func (r *Replica) removeInactive(now time.Time) bool {
	surplus := r.countVotersAndCaughtUp(now) > r.openMembershipSize
	var inactive Members
	for _, member := range r.Members() {
		timeouts := time.Duration(lostNonVoterTimeouts)
		if member.Role == Voter {
			timeouts = lostMemberTimeouts
		}
		if member.ID != r.self.ID && (surplus || member.Role != Voter) && !r.isActive(now, member.ID, timeouts) {
			inactive = append(inactive, member)
		}
	}
	if len(inactive) == 0 {
		return false
	}
	leastRecent := slices.MinFunc(inactive, func(a, b Member) int {
		return cmp.Compare(r.leadership.progress[a.ID].lastContactAt.UnixNano(), r.leadership.progress[b.ID].lastContactAt.UnixNano())
	})
	_, _, _ = r.proposeMembers(now, r.Members().without(leastRecent.Name))
	return true
}

// countVotersAndCaughtUp returns the number of voters and of returning members that can be promoted.
func (r *Replica) countVotersAndCaughtUp(now time.Time) int {
	count := 0
	for _, member := range r.Members() {
		if member.Role == Voter || member.Role == Returning && r.caughtUp(now, member.ID) {
			count++
		}
	}
	return count
}

// announce sends an announcement to all configured and known members. A replica without a leader needs it if it has
// moved before it held any entry, or has been removed while it was offline.
func (r *Replica) announce() {
	body := Announcement{Name: r.self.Name, Address: r.self.Address}
	for _, peer := range r.peers {
		if peer.Name != r.self.Name {
			r.sendTo(peer.Address, Message{Body: body})
		}
	}
	for _, member := range r.Members() {
		if member.ID != r.self.ID {
			r.sendTo(r.addressOf(member), Message{Body: body})
		}
	}
}

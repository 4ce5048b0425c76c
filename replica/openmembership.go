package replica

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// admitOnTick proposes an announced replica as a member that is promoted once it has caught up, and reports whether it did.
func (r *Replica) admitOnTick(now time.Time) bool {
	for _, name := range slices.Sorted(maps.Keys(r.leading.joiners)) {
		joining := r.leading.joiners[name]
		_, named := r.Members().Named(name)
		_, member := r.Members().Find(joining.member.ID)
		if named || member || !now.Before(joining.heardAt.Add(r.electionTimeout)) {
			continue
		}
		admitted := joining.member
		admitted.Role = Returning
		_, _, _ = r.proposeMembers(now, r.Members().with(admitted))
		return true
	}
	return false
}

// retireOnTick proposes the members without a silent one, and reports whether it did. Voters are taken out only beyond the
// wanted size, so that each commit lasts on as many disks.
func (r *Replica) retireOnTick(now time.Time) bool {
	surplus := r.Members().count(Voter) > r.openSize
	var silent Members
	for _, member := range r.Members() {
		timeouts := time.Duration(forgottenTimeouts)
		if member.Role == Voter {
			timeouts = silentTimeouts
		}
		if member.ID != r.self.ID && (surplus || member.Role != Voter) && !r.active(now, member.ID, timeouts) {
			silent = append(silent, member)
		}
	}
	if len(silent) == 0 {
		return false
	}
	longest := slices.MinFunc(silent, func(a, b Member) int {
		return cmp.Compare(r.leading.progress[a.ID].heardAt.UnixNano(), r.leading.progress[b.ID].heardAt.UnixNano())
	})
	_, _, _ = r.proposeMembers(now, r.Members().without(longest.Name))
	return true
}

// announceAgain tells the configured and known members of a replica that hears no leader: it may have moved before it
// held any entry, or have been taken out while it was away.
func (r *Replica) announceAgain() {
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

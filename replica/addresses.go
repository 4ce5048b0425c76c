package replica

import (
	"net/netip"
	"slices"
	"time"
)

// learnAddress records the address from which a member sends, which may differ from the one in the log.
func (r *Replica) learnAddress(m Message) {
	if member, ok := r.Members().FindByID(m.From); ok && m.ReplyTo.IsValid() {
		r.learnedAddresses[member.ID] = m.ReplyTo
	}
}

// addressOf returns the address from which a member last sent a message, or else its address in the log.
func (r *Replica) addressOf(member Member) netip.AddrPort {
	if member.ID == r.self.ID {
		return r.self.Address
	}
	if learned, ok := r.learnedAddresses[member.ID]; ok {
		return learned
	}
	return member.Address
}

// configuredAddress returns the address of another member in the settings, or false if there is none or it is the one
// already in use.
func (r *Replica) configuredAddress(member Member) (netip.AddrPort, bool) {
	i := slices.IndexFunc(r.peers, func(peer Peer) bool { return peer.Name == member.Name })
	if i < 0 || member.ID == r.self.ID || r.peers[i].Address == r.addressOf(member) {
		return netip.AddrPort{}, false
	}
	return r.peers[i].Address, true
}

// proposeMovedAddress proposes to record the new address of a member that has moved with its disk. It proposes at most
// one address, and only that of an active member or of this replica.
func (r *Replica) proposeMovedAddress(now time.Time) {
	for _, member := range r.Members() {
		address := r.addressOf(member)
		if address == member.Address || member.ID != r.self.ID && !r.isActive(now, member.ID, 1) {
			continue
		}
		member.Address = address
		_, _, _ = r.proposeMembers(now, r.Members().with(member))
		return
	}
}

// probeConfiguredAddress sends a heartbeat to the configured address of an inactive member, which may have moved there.
func (r *Replica) probeConfiguredAddress(now time.Time, member Member) {
	address, differs := r.configuredAddress(member)
	if !differs || r.isActive(now, member.ID, 1) {
		return
	}
	r.sendImmediateTo(address, member, Heartbeat{Round: r.leadership.rounds.latest})
}

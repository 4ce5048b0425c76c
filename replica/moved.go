package replica

import (
	"net/netip"
	"slices"
	"time"
)

// learnAddress notes where a member sends from, which may be another address than the log tells.
func (r *Replica) learnAddress(m Message) {
	if member, ok := r.Members().Find(m.From); ok && m.ReplyTo.IsValid() {
		r.learned[member.ID] = m.ReplyTo
	}
}

// addressOf returns where a member was last heard from, or where the log says it is.
func (r *Replica) addressOf(member Member) netip.AddrPort {
	if member.ID == r.self.ID {
		return r.self.Address
	}
	if learned, ok := r.learned[member.ID]; ok {
		return learned
	}
	return member.Address
}

// configuredAddress returns the address of a member in the settings, where that is another one.
func (r *Replica) configuredAddress(member Member) (netip.AddrPort, bool) {
	at := slices.IndexFunc(r.peers, func(peer Peer) bool { return peer.Name == member.Name })
	if at < 0 || member.ID == r.self.ID || r.peers[at].Address == r.addressOf(member) {
		return netip.AddrPort{}, false
	}
	return r.peers[at].Address, true
}

// recordMove proposes the address of a member that has moved with its disk.
func (r *Replica) recordMove(now time.Time) {
	for _, member := range r.Members() {
		moved := r.addressOf(member)
		if moved == member.Address || member.ID != r.self.ID && !r.active(now, member.ID, 1) {
			continue
		}
		member.Address = moved
		_, _, _ = r.proposeMembers(now, r.Members().with(member))
		return
	}
}

// seek sends a heartbeat to the configured address of a member that is not heard from.
func (r *Replica) seek(now time.Time, member Member) {
	address, other := r.configuredAddress(member)
	if !other || r.active(now, member.ID, 1) {
		return
	}
	r.sendPromptTo(address, member, Heartbeat{Round: r.leading.rounds.latest})
}

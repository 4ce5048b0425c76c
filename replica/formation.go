package replica

import (
	"slices"
	"strings"
	"time"
)

// tickWithoutCluster founds a cluster if this replica can, and otherwise announces it to its peers once a heartbeat
// interval.
func (r *Replica) tickWithoutCluster(now time.Time) {
	if r.canFoundCluster() {
		r.foundCluster(now)
		return
	}
	if now.Before(r.nextAnnouncementAt) {
		return
	}
	r.nextAnnouncementAt = now.Add(r.heartbeat)
	for _, peer := range r.peers {
		if peer.Name != r.self.Name {
			r.sendTo(peer.Address, Message{Body: Announcement{Name: r.self.Name, Address: r.self.Address}})
		}
	}
}

// canFoundCluster reports whether this replica is the first by name of the configured members and all others have
// answered its announcement, which only empty replicas do.
func (r *Replica) canFoundCluster() bool {
	if r.join || len(r.peers) == 0 {
		return false
	}
	for _, peer := range r.peers {
		if peer.Name < r.self.Name {
			return false
		}
		if _, empty := r.emptyPeers[peer.Name]; !empty && peer.Name != r.self.Name {
			return false
		}
	}
	return true
}

// foundCluster starts a cluster in which this replica is the only voter. The other configured members start as
// Returning and are promoted once they have caught up.
func (r *Replica) foundCluster(now time.Time) {
	members := Members{{Name: r.self.Name, ID: r.self.ID, Address: r.self.Address, Role: Voter}}
	for _, peer := range r.peers {
		if peer.Name != r.self.Name {
			members = append(members, Member{
				Name: peer.Name, ID: r.emptyPeers[peer.Name], Address: peer.Address, Role: Returning,
			})
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	r.hardState = HardState{Cluster: r.random.Uint64() | 1, Term: 1, Vote: r.self.ID}
	r.append(Entry{Index: 1, Term: 1, At: now, Kind: MembersEntry, Members: members})
	r.campaign(now, false, false)
}

// stepFormation handles announcements and their answers, and reports whether the message was one of them.
func (r *Replica) stepFormation(now time.Time, m Message) bool {
	switch body := m.Body.(type) {
	case Announcement:
		r.stepAnnouncement(now, m, body)
		return true
	case AnnouncementAnswer:
		if m.To == r.self.ID && r.hardState.Cluster == 0 {
			r.emptyPeers[body.Name] = m.From
		}
		return true
	default:
		return false
	}
}

// stepAnnouncement answers the announcement if this replica is empty too, records the sender's address or its wish to
// join if this replica leads, and otherwise forwards the announcement to the leader once.
func (r *Replica) stepAnnouncement(now time.Time, m Message, announcement Announcement) {
	if m.Cluster != 0 && m.Cluster != r.hardState.Cluster {
		return
	}
	if r.hardState.Cluster == 0 {
		r.sendTo(announcement.Address, Message{To: m.From, Body: AnnouncementAnswer{Name: r.self.Name}})
		return
	}
	if _, known := r.Members().FindByID(m.From); known && r.phase == Leader {
		r.learnedAddresses[m.From] = announcement.Address
		return
	}
	if r.phase == Leader {
		member := Member{Name: announcement.Name, ID: m.From, Address: announcement.Address}
		r.leadership.joiners[announcement.Name] = joiner{member: member, announcedAt: now}
		return
	}
	if leader, known := r.Members().FindByID(r.leader); known && m.To == 0 {
		m.To = leader.ID
		r.messages = append(r.messages, Outbound{Address: r.addressOf(leader), Message: m})
	}
}

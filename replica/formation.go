package replica

import (
	"slices"
	"strings"
	"time"
)

// tickEmpty announces a replica without a cluster, and founds one where it may.
func (r *Replica) tickEmpty(now time.Time) {
	if r.mayFound() {
		r.found(now)
		return
	}
	if now.Before(r.announceAt) {
		return
	}
	r.announceAt = now.Add(r.heartbeat)
	for _, peer := range r.peers {
		if peer.Name != r.self.Name {
			r.sendTo(peer.Address, Message{Body: Announcement{Name: r.self.Name, Address: r.self.Address}})
		}
	}
}

// mayFound reports whether this replica is the first by name of the configured members and all others
// have answered its announcement that they are empty too.
func (r *Replica) mayFound() bool {
	if r.join || len(r.peers) == 0 {
		return false
	}
	for _, peer := range r.peers {
		if peer.Name < r.self.Name {
			return false
		}
		if _, empty := r.announced[peer.Name]; !empty && peer.Name != r.self.Name {
			return false
		}
	}
	return true
}

// found starts a cluster whose only voter is this replica; the others return as learners and are promoted.
func (r *Replica) found(now time.Time) {
	members := Members{{Name: r.self.Name, ID: r.self.ID, Address: r.self.Address, Role: Voter}}
	for _, peer := range r.peers {
		if peer.Name != r.self.Name {
			members = append(members, Member{
				Name: peer.Name, ID: r.announced[peer.Name], Address: peer.Address, Role: Returning,
			})
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	r.hard = HardState{Cluster: r.random.Uint64() | 1, Term: 1, Vote: r.self.ID}
	r.append(Entry{Index: 1, Term: 1, At: now, Kind: MembersEntry, Members: members})
	r.campaign(now, false, false)
}

// stepUnaddressed takes what replicas without a cluster send, and reports whether it was that.
func (r *Replica) stepUnaddressed(now time.Time, m Message) bool {
	switch body := m.Body.(type) {
	case Announcement:
		r.stepAnnouncement(now, m, body)
		return true
	case AnnouncementAnswer:
		if m.To == r.self.ID && r.hard.Cluster == 0 {
			r.announced[body.Name] = m.From
		}
		return true
	default:
		return false
	}
}

func (r *Replica) stepAnnouncement(now time.Time, m Message, announcement Announcement) {
	if m.Cluster != 0 && m.Cluster != r.hard.Cluster {
		return
	}
	if r.hard.Cluster == 0 {
		r.sendTo(announcement.Address, Message{To: m.From, Body: AnnouncementAnswer{Name: r.self.Name}})
		return
	}
	if _, known := r.Members().Find(m.From); known && r.phase == Leader {
		r.learned[m.From] = announcement.Address
		return
	}
	if r.phase == Leader {
		member := Member{Name: announcement.Name, ID: m.From, Address: announcement.Address}
		r.leading.joiners[announcement.Name] = joiner{member: member, heardAt: now}
		return
	}
	if leader, known := r.Members().Find(r.leader); known && m.To == 0 {
		m.To = leader.ID
		r.messages = append(r.messages, Outbound{Address: r.addressOf(leader), Message: m})
	}
}

package replica

import (
	"net/netip"
	"slices"
)

// A Member is a replica that takes part in a cluster.
type Member struct {
	Name    string
	ID      ID
	Address netip.AddrPort
	Role    Role
}

// Members are the replicas of a cluster.
type Members []Member

// Find returns the member with an id.
func (m Members) Find(id ID) (Member, bool) {
	at := slices.IndexFunc(m, func(member Member) bool { return member.ID == id })
	if at < 0 {
		return Member{}, false
	}
	return m[at], true
}

// Named returns the member with a name.
func (m Members) Named(name string) (Member, bool) {
	at := slices.IndexFunc(m, func(member Member) bool { return member.Name == name })
	if at < 0 {
		return Member{}, false
	}
	return m[at], true
}

// Quorum returns how many voters are a majority.
func (m Members) Quorum() int {
	return m.count(Voter)/2 + 1
}

func (m Members) count(role Role) int {
	count := 0
	for _, member := range m {
		if member.Role == role {
			count++
		}
	}
	return count
}

func (m Members) votes(id ID) bool {
	member, ok := m.Find(id)
	return ok && member.Role == Voter
}

// with returns a copy in which the member of the same name is replaced, or the member added.
func (m Members) with(member Member) Members {
	changed := slices.Clone(m)
	at := slices.IndexFunc(changed, func(other Member) bool { return other.Name == member.Name })
	if at < 0 {
		return append(changed, member)
	}
	changed[at] = member
	return changed
}

func (m Members) without(name string) Members {
	return slices.DeleteFunc(slices.Clone(m), func(member Member) bool { return member.Name == name })
}

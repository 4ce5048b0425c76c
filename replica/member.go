package replica

import (
	"net/netip"
	"slices"
)

// A Member is a replica that belongs to a cluster.
type Member struct {
	Name    string
	ID      ID
	Address netip.AddrPort
	Role    Role
}

// Members is the membership of a cluster.
type Members []Member

// FindByID returns the member with the given id, or false if there is none.
func (m Members) FindByID(id ID) (Member, bool) {
	i := slices.IndexFunc(m, func(member Member) bool { return member.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// FindByName returns the member with the given name, or false if there is none.
func (m Members) FindByName(name string) (Member, bool) {
	i := slices.IndexFunc(m, func(member Member) bool { return member.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// Quorum returns the number of voters that form a majority.
func (m Members) Quorum() int {
	return m.countRole(Voter)/2 + 1
}

func (m Members) countRole(role Role) int {
	count := 0
	for _, member := range m {
		if member.Role == role {
			count++
		}
	}
	return count
}

func (m Members) isVoter(id ID) bool {
	member, ok := m.FindByID(id)
	return ok && member.Role == Voter
}

// with returns a copy with the member added, or in place of the member of the same name.
func (m Members) with(member Member) Members {
	changed := slices.Clone(m)
	i := slices.IndexFunc(changed, func(other Member) bool { return other.Name == member.Name })
	if i < 0 {
		return append(changed, member)
	}
	changed[i] = member
	return changed
}

// without returns a copy without the named member.
func (m Members) without(name string) Members {
	return slices.DeleteFunc(slices.Clone(m), func(member Member) bool { return member.Name == name })
}

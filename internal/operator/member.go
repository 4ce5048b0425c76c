package operator

import "net/netip"

// Roles of members.
const (
	RoleLeader  Role = "leader"
	RoleVoter   Role = "voter"
	RoleLearner Role = "learner"
)

// A Role is the role of a control instance in the cluster.
type Role string

// A NewMember is a control instance to add, with the address at which its peers reach it.
type NewMember struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
}

// A Member is a control instance of the cluster; Match is the index of the last log entry known to be replicated to it.
type Member struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Role    Role           `json:"role"`
	Match   uint64         `json:"match"`
}

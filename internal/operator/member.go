package operator

import "net/netip"

// The roles of members.
const (
	RoleLeader  Role = "leader"
	RoleVoter   Role = "voter"
	RoleLearner Role = "learner"
)

// A Role tells what a control instance does in the cluster.
type Role string

// A NewMember is a control instance to add.
type NewMember struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
}

// A Member is a control instance of the cluster; Match is the last log entry that the leader knows it to hold.
type Member struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Role    Role           `json:"role"`
	Match   uint64         `json:"match"`
}

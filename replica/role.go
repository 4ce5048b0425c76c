package replica

// A Role determines whether a member counts in quorums.
type Role string

// The roles of members.
const (
	// Voter counts in quorums.
	Voter Role = "voter"
	// Learner receives the log but counts in no quorum until an operator promotes it.
	Learner Role = "learner"
	// Returning is a learner that the leader promotes on its own once it has caught up.
	Returning Role = "returning"
)

package replica

// A Role says what part a member takes in quorums.
type Role string

// The roles of members.
const (
	// Voter counts in quorums.
	Voter Role = "voter"
	// Learner receives the log and counts in no quorum until it is promoted.
	Learner Role = "learner"
	// Returning is a learner that the leader promotes as soon as it has caught up.
	Returning Role = "returning"
)

package replica

// A Phase is a replica's state in leader election.
type Phase string

// The phases of a replica.
const (
	Follower     Phase = "follower"
	PreCandidate Phase = "pre-candidate"
	Candidate    Phase = "candidate"
	Leader       Phase = "leader"
)

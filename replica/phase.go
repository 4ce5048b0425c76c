package replica

// A Phase is what a replica currently does.
type Phase string

// The phases of a replica.
const (
	Follower     Phase = "follower"
	PreCandidate Phase = "pre-candidate"
	Candidate    Phase = "candidate"
	Leader       Phase = "leader"
)

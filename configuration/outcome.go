package configuration

// An Outcome is the outcome of a publish request.
type Outcome string

// The outcomes of a publish request. Conflict means that the base is no longer the current revision or version,
// Broken that the request or its set is invalid, and TooLarge that the set exceeds the size limit.
const (
	Accepted Outcome = "accepted"
	Conflict Outcome = "conflict"
	Broken   Outcome = "broken"
	TooLarge Outcome = "too-large"
)

package configuration

// An Answer is the outcome of a publish request.
type Answer string

// The outcomes of a publish request. Conflict means that the base is no longer the current revision or version,
// Broken that the request or its set is invalid, and TooLarge that the set exceeds the size limit.
const (
	Accepted Answer = "accepted"
	Conflict Answer = "conflict"
	Broken   Answer = "broken"
	TooLarge Answer = "too-large"
)

package configuration

// An Answer tells what became of a publish.
type Answer string

// The answers to a publish.
const (
	Accepted Answer = "accepted"
	Conflict Answer = "conflict"
	Broken   Answer = "broken"
	TooLarge Answer = "too-large"
)

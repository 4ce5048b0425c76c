package limit

import "time"

// A Grant answers the ask of the same ID.
type Grant struct {
	ID        uint64
	Workspace string
	Tokens    int64
	// Duration counts from the moment at which the holder sent the ask.
	Duration time.Duration
	// RetryAfter is set where requests wait and no token came for them in time.
	RetryAfter time.Duration
}

// A HolderGrant is a grant with the holder that it goes to.
type HolderGrant struct {
	Holder string
	Grant  Grant
}

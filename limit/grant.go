package limit

import "time"

// A Grant is the owner's answer to the grant request with the same ID. It may carry no tokens.
type Grant struct {
	ID        uint64
	Workspace string
	Tokens    int64
	// Duration is the lifetime of the grant, counted from the time when the holder sent the request.
	Duration time.Duration
	// RetryAfter is set if requests are waiting and the owner can't grant tokens for them in time.
	RetryAfter time.Duration
	// FallbackShare is the share of its recent rate at which the holder may spend while the owner is silent: what all
	// holders spent lately may be more than the rate. It is 0 if the owner doesn't tell it.
	FallbackShare float64
}

// A HolderGrant is a grant addressed to a holder.
type HolderGrant struct {
	Holder string
	Grant  Grant
}

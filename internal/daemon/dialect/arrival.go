package dialect

import "time"

// Arrival contains the request metadata that a caller sends in headers.
type Arrival struct {
	// RequestID is the request ID that the caller chose, or empty if the daemon is to assign one.
	RequestID string
	// RootRequestID is the ID of the root request that a nested call belongs to, or empty for a root request and if
	// unknown.
	RootRequestID string
	// Key is the secret of the caller's key, or empty if the request has none.
	Key string
	// Remaining is the time until the caller's deadline, or zero if the caller set none.
	Remaining time.Duration
}

package dialect

import "time"

// An Arrival is what a caller says of its request.
type Arrival struct {
	// RequestID is that of the caller, or empty where the daemon gives one.
	RequestID string
	// WholeID is that of the caller's request for which a backend server makes this one, or empty where this is the
	// caller's own or nothing is known.
	WholeID string
	// Key is the secret that came with the request, or empty.
	Key string
	// Remaining is how long the caller waits, zero where it does not say.
	Remaining time.Duration
}

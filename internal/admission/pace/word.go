package pace

import "time"

// A Word is what an announcement of the backend server says about its start.
type Word struct {
	// New reports that the process is announced for the first time, or again after it was given up.
	New bool
	// ColdLeft is how much longer the backend server stays cold, or 0 if it is not cold.
	ColdLeft time.Duration
	// Slots is the number of requests that the backend server runs at a time.
	Slots int
}

package departure

import "time"

// A Departure is the announced end of one process of a backend server.
type Departure struct {
	// Target is the name that the process announced.
	Target string
	// StartedAt is the start time of the process, which tells it from others of the same name.
	StartedAt time.Time
	Phase     Phase
}

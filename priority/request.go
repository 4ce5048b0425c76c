package priority

import "time"

// A Request is a request to run at the target. Priority 0 is the most important. Share is the weight of its
// workspace among those of the same priority. A zero Deadline means no deadline. Requests of the same Route
// are expected to have similar service times. Shed is the share of requests with the same priority and
// workspace that were shed upstream before they were sent. A Nested request holds slots at other targets
// while it waits.
type Request struct {
	ID        uint64
	RootHash  uint64
	Priority  int
	Workspace string
	Route     string
	Share     float64
	Deadline  time.Time
	Shed      float64
	Nested    bool
	// Objective is the latency within which an answer has its full value, or zero for none.
	Objective time.Duration
}

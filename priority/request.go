package priority

import "time"

// A Request asks to run at the target. Priority 0 is the most important; Share weighs its workspace among
// those of one priority; a zero Deadline means none. Requests of one Route take about the same time. Shed is
// the share of requests like it that were shed before they were sent. A Nested request holds slots of other
// targets while it waits.
type Request struct {
	ID        uint64
	WholeHash uint64
	Priority  int
	Workspace string
	Route     string
	Share     float64
	Deadline  time.Time
	Shed      float64
	Nested    bool
	// Objective is the time within which an answer is worth most, zero for none.
	Objective time.Duration
}

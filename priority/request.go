package priority

import "time"

// A Request asks to run at the target. Priority 0 is the most important; Share weighs its workspace among
// those of one priority; a zero Deadline means none.
type Request struct {
	ID        uint64
	WholeHash uint64
	Priority  int
	Workspace string
	Share     float64
	Deadline  time.Time
}

// meets reports whether a run that starts at now and takes d ends within the deadline.
func (r *Request) meets(now time.Time, d time.Duration) bool {
	return r.Deadline.IsZero() || !now.Add(d).After(r.Deadline)
}

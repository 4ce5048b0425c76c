package trace

import "time"

// A Step is one recorded call to a decision package.
type Step interface {
	// Time returns the time of the call since the start of the recording.
	Time() time.Duration
	// Outcome returns one line for each decision.
	Outcome() []string
}

// offset returns the time from start to at, or 0 for the zero time.
func offset(start, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(start)
}

// timeAt is the inverse of offset: it returns the zero time for 0.
func timeAt(start time.Time, offset time.Duration) time.Time {
	if offset == 0 {
		return time.Time{}
	}
	return start.Add(offset)
}

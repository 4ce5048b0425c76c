package trace

import "time"

// A Step is one call of a decision package.
type Step interface {
	// Time returns when it was taken, from the start of the recording.
	Time() time.Duration
	// Outcome returns a line for each thing that was decided.
	Outcome() []string
}

func offset(start, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(start)
}

// instant is the reverse of offset: 0 stands for the zero time.
func instant(start time.Time, offset time.Duration) time.Time {
	if offset == 0 {
		return time.Time{}
	}
	return start.Add(offset)
}

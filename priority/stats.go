package priority

import "time"

// Stats is a snapshot of an Admission for metrics.
type Stats struct {
	Limit       int
	Running     int
	Waiting     int
	ServiceTime time.Duration // what a run is expected to take at least
	Admitted    uint64
	Overloaded  uint64 // refused for want of capacity
	Late        uint64 // refused because the deadline can't be met
}

package priority

// Stats is a snapshot of an Admission's state and counters for metrics.
type Stats struct {
	Limit      int
	Running    int
	Waiting    int
	Admitted   uint64
	Overloaded uint64 // refused for lack of capacity
	Late       uint64 // refused because the deadline can't be met
}

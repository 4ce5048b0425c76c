package priority

// Stats is a snapshot of an Admission for metrics.
type Stats struct {
	Limit      int
	Running    int
	Waiting    int
	Admitted   uint64
	Overloaded uint64 // refused for want of capacity
	Late       uint64 // refused because the deadline can't be met
}

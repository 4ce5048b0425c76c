package priority

import "time"

// A Result is the outcome of one admitted request at the backend server.
type Result struct {
	Latency time.Duration
	Failed  bool
}

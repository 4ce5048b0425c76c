package priority

import "time"

// A Result is how one admitted request ended at the backend server.
type Result struct {
	Latency time.Duration
	Failed  bool
}

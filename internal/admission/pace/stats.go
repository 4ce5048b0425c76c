package pace

// Stats is a snapshot of a Pacer for metrics.
type Stats struct {
	Pacing     bool    // starts are bounded
	Rate       float64 // starts per second, 0 if unbounded
	Share      int     // of their usual requests that callers send, in units of 1/FullShare
	ColdLeftMs int64   // how long the server is still known or taken to be cold
	Ramps      uint64  // begun since the start of the process
	FellBack   uint64  // bad rounds since the start of the process
}

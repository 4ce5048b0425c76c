package load

// A Report is the load that a backend server states in one answer.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes on the server's instance at this moment, where 1 is as usual, or 0 if not stated.
	Slowness float64
}

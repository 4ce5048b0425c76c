package load

import "time"

// A State is the load of a backend server as its daemon reports it to callers. The zero value is no report.
type State struct {
	// InFlight is the number of calls that run at the server or wait for it, from all callers.
	InFlight int
	Slots    int
	// ServiceTime is the recent mean time from sending a request to the head of its answer.
	ServiceTime time.Duration
	// Slowness is the server's stated slowness in proportion to its recent mean, as far as its service times follow it.
	Slowness float64
	// Age is the time since the server stated its slowness.
	Age time.Duration
}

// Known reports whether s is a valid report.
func (s State) Known() bool {
	return s.Slots > 0 && s.ServiceTime > 0 && s.Slowness > 0 && s.Slowness <= maxRelativeSlowness
}

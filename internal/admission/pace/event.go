package pace

import "time"

// An EventKind is a change of the pace.
type EventKind string

// The kinds of events.
const (
	Started  EventKind = "started"   // a server announced itself
	TurnCold EventKind = "cold"      // a server said that it is cold
	Failing  EventKind = "failing"   // most requests of a server failed
	FellBack EventKind = "fell-back" // a round of answers was bad
	Finished EventKind = "finished"  // the server is given all its requests
)

// An Event describes a change of the pace, with the state after it.
type Event struct {
	Kind     EventKind
	Rate     float64 // starts per second, +Inf if unbounded
	Share    int     // in units of 1/FullShare
	ColdLeft time.Duration
}

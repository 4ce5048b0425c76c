package target

import (
	"net/netip"
	"time"
)

// A Target is a backend server as announced by its daemon.
type Target struct {
	Name          string
	Service       string
	FailureDomain string
	Daemon        string
	Peer          netip.AddrPort
	Incarnation   uint64
	Slots         int
	InFlight      int
	Connections   int
	State         State
	// StartedAt is the start time of the backend server, zero if unknown.
	StartedAt time.Time
	// Pace is the share of its usual calls that the target should be sent, in units of 1/FullPace, or 0 if its daemon
	// doesn't pace it.
	Pace int `json:",omitempty"`
}

// equalIgnoringLoad reports whether t and other are equal apart from slots, calls in flight, connections and the start
// time.
func (t Target) equalIgnoringLoad(other Target) bool {
	t.Slots, t.InFlight, t.Connections, t.StartedAt = other.Slots, other.InFlight, other.Connections, other.StartedAt
	return t == other
}

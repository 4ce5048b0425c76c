package target

import "net/netip"

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
}

// equalIgnoringLoad reports whether t and other are equal apart from slots, calls in flight and connections.
func (t Target) equalIgnoringLoad(other Target) bool {
	t.Slots, t.InFlight, t.Connections = other.Slots, other.InFlight, other.Connections
	return t == other
}

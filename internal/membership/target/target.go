package target

import "net/netip"

// A Target is a backend server as its daemon announced it.
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

// sameIdentity reports whether t and other differ in their load at most.
func (t Target) sameIdentity(other Target) bool {
	t.Slots, t.InFlight, t.Connections = other.Slots, other.InFlight, other.Connections
	return t == other
}

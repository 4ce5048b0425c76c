package operator

import "net/netip"

// A Target is an announced target; Address is the address at which other daemons reach the target's daemon.
type Target struct {
	Name          string         `json:"name"`
	Service       string         `json:"service"`
	FailureDomain string         `json:"failure-domain"`
	Daemon        string         `json:"daemon"`
	Address       netip.AddrPort `json:"address"`
	Incarnation   uint64         `json:"incarnation"`
	State         string         `json:"state"`
	Slots         int            `json:"slots"`
	InFlight      int            `json:"in-flight"`
	Connections   int            `json:"connections"`
}

package operator

import "net/netip"

// A Status is the cluster state known to one control instance; Leader is empty and LeaderAddress is invalid if
// the leader is unknown.
type Status struct {
	Process       string         `json:"process"`
	Cluster       string         `json:"cluster"`
	Leader        string         `json:"leader"`
	LeaderAddress netip.AddrPort `json:"leader-address"`
	Term          uint64         `json:"term"`
	Applied       uint64         `json:"applied"`
	Revision      uint64         `json:"revision"`
	OutOfUse      []string       `json:"out-of-use,omitempty"`
	Daemons       []Daemon       `json:"daemons"`
}

// A Daemon is a daemon attached to a control instance, with the revision it last confirmed.
type Daemon struct {
	Name             string         `json:"name"`
	FailureDomain    string         `json:"failure-domain"`
	Revision         uint64         `json:"revision"`
	OperatorsAddress netip.AddrPort `json:"operators-address"`
}

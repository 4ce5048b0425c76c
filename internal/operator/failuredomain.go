package operator

import "time"

// FailureDomains is the state of the failure domains known to the leader.
type FailureDomains struct {
	// Version is the number of changes by orders so far.
	Version uint64 `json:"version"`
	// Daemons is the number of daemons attached to the leader, and InForce that of those that have confirmed the version.
	Daemons int             `json:"daemons"`
	InForce int             `json:"in-force"`
	Domains []FailureDomain `json:"domains"`
}

// A FailureDomain is out of use, or has attached daemons or announced targets. OutFor is zero while it is in use.
type FailureDomain struct {
	Name     string        `json:"name"`
	OutOfUse bool          `json:"out-of-use"`
	OutFor   time.Duration `json:"out-for"`
	Daemons  int           `json:"daemons"`
	Targets  int           `json:"targets"`
}

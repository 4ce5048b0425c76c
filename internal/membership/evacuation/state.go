package evacuation

import (
	"slices"
	"time"
)

// A State is the set of failure domains out of use after a number of changes. It is not modified once made.
type State struct {
	// Cluster identifies the control cluster that ordered it. Versions of different clusters can't be compared.
	Cluster uint64
	// Version is the number of changes since the cluster started.
	Version uint64
	// Domains holds the names of the failure domains out of use, sorted.
	Domains []string
	// Age is the time since the last change when the state was received, 0 if unknown.
	Age time.Duration
}

// Out reports whether a failure domain is out of use.
func (s State) Out(domain string) bool {
	return slices.Contains(s.Domains, domain)
}

package evacuation

import (
	"maps"
	"slices"
	"time"
)

// maxDomains is several times the number of failure domains of a large cluster.
const maxDomains = 64

// A Register holds the failure domains out of use. It is not safe for concurrent use.
type Register struct {
	version   uint64
	changedAt time.Time
	since     map[string]time.Time
}

// NewRegister returns a register with all failure domains in use.
func NewRegister() *Register {
	return &Register{since: make(map[string]time.Time)}
}

// Apply carries out an order and reports whether it holds now, which it also does if it held before. It reports false for
// an invalid order and for one that takes out more failure domains than the register can hold.
func (r *Register) Apply(at time.Time, o Order) bool {
	if o.Validate() != nil {
		return false
	}
	_, out := r.since[o.Domain]
	if out == o.Out {
		return true
	}
	if o.Out {
		if len(r.since) >= maxDomains {
			return false
		}
		r.since[o.Domain] = at
	} else {
		delete(r.since, o.Domain)
	}
	r.version++
	r.changedAt = at
	return true
}

// Version returns the number of changes so far.
func (r *Register) Version() uint64 { return r.version }

// ChangedAt returns the time of the last change, zero if there was none.
func (r *Register) ChangedAt() time.Time { return r.changedAt }

// Since returns the time since when a failure domain is out of use, and false if it is in use.
func (r *Register) Since(domain string) (time.Time, bool) {
	since, out := r.since[domain]
	return since, out
}

// State returns the current state, as one of the given control cluster.
func (r *Register) State(cluster uint64) State {
	return State{Cluster: cluster, Version: r.version, Domains: slices.Sorted(maps.Keys(r.since))}
}

package store

import (
	"time"

	"sapphirespread.example/replica"
)

// view is what other goroutines see of the replica.
type view struct {
	leader     replica.Member
	known      bool
	leading    bool
	leased     bool
	leaseUntil time.Time
	term       uint64
	cluster    uint64
	generation uint64
	applied    uint64
	members    replica.Members
	snapshots  uint64
}

func (v *view) sameTo(other *view) bool {
	return v.leader == other.leader && v.known == other.known && v.leading == other.leading &&
		v.leased == other.leased && v.term == other.term && v.applied == other.applied && v.snapshots == other.snapshots
}

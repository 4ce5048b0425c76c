package store

import (
	"time"

	"sapphirespread.example/replica"
)

// view is an immutable copy of the state of the replica for other goroutines.
type view struct {
	leader             replica.Member
	leaderKnown        bool
	leading            bool
	hasLease           bool
	leaseUntil         time.Time
	term               uint64
	cluster            uint64
	generation         uint64
	applied            uint64
	members            replica.Members
	installedSnapshots uint64
	heldBytes          int64
}

// equivalentTo reports whether the views are equal in all values whose changes Store.Changed reports.
func (v *view) equivalentTo(other *view) bool {
	return v.leader == other.leader && v.leaderKnown == other.leaderKnown && v.leading == other.leading &&
		v.hasLease == other.hasLease && v.term == other.term && v.applied == other.applied && v.installedSnapshots == other.installedSnapshots
}

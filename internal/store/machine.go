package store

import "time"

// A Machine is a deterministic state machine that is replicated on all instances. It never reads a clock.
type Machine interface {
	// Apply applies a command to the state and returns its result. The time at never decreases from one entry of the log
	// to the next.
	Apply(at time.Time, index uint64, command []byte) (result []byte)
	// Snapshot returns the encoded state. It may run concurrently with reads but not with Apply.
	Snapshot() ([]byte, error)
	// Restore replaces the state by the decoded snapshot.
	Restore(snapshot []byte) error
}

package store

import "time"

// A Machine is the state that all replicas keep the same; it never reads a clock.
type Machine interface {
	// Apply changes the state by a command and returns its result; at never decreases along the log.
	Apply(at time.Time, index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state without changing it; it may run beside Read but not beside Apply.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

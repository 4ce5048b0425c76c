package control

import "time"

// A State is the state machine of the replicated log.
type State interface {
	Apply(at time.Time, index uint64, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore(encoded []byte) error
}

// NewState returns an empty state.
func NewState() State { return newState() }

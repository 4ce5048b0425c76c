package replica

import "time"

// A Snapshot is the state after all entries up to Index have been applied. Term and At are those of the last entry.
type Snapshot struct {
	Index   uint64
	Term    uint64
	At      time.Time
	Members Members
	Body    []byte
}

package replica

import "time"

// A Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	At      time.Time
	Members Members
	Body    []byte
}

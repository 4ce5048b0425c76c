package replica

// Persisted is the state that a replica loads from its disk.
type Persisted struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

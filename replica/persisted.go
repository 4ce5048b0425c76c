package replica

// Persisted is what a replica finds on its disk.
type Persisted struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without gaps.
	Entries []Entry
}

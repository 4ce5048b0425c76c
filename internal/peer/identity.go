package peer

// An Identity identifies a process to its peers. Each start of a process has a different Incarnation.
type Identity struct {
	Cluster     string
	Process     string
	Incarnation uint64
}

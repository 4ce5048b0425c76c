package peer

// An Identity names a process to its peers; Incarnation differs after each start of the process.
type Identity struct {
	Cluster     string
	Process     string
	Incarnation uint64
}

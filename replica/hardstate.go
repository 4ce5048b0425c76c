package replica

// A HardState must last before any message that follows from it is sent.
type HardState struct {
	// Cluster is drawn at the founding; zero for a replica that belongs to no cluster yet.
	Cluster uint64
	Term    uint64
	Vote    ID
}

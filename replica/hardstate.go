package replica

// A HardState is the state that must be persisted before any message that depends on it is sent.
type HardState struct {
	// Cluster is a random id, new at the founding and at each forced recovery. It is zero for a replica without a cluster.
	Cluster uint64
	Term    uint64
	// Vote is the candidate that received this replica's vote in Term; zero for none.
	Vote    ID
	Lineage Lineage
	// SupersededBy is the newer generation that has replaced the replica's own; zero for none. A superseded replica stops
	// for good.
	SupersededBy uint64
}

// originCluster returns the id of the cluster before its first forced recovery.
func (h HardState) originCluster() uint64 {
	return h.Lineage.originOf(h.Cluster)
}

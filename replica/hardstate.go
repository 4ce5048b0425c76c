package replica

// A HardState must last before any message that follows from it is sent.
type HardState struct {
	// Cluster is drawn at the founding and at each forced recovery; zero for a replica that belongs to no cluster yet.
	Cluster uint64
	Term    uint64
	Vote    ID
	Lineage Lineage
	// Superseded is the newer generation that this replica has heard from and will never take part in; zero for none.
	Superseded uint64
}

func (h HardState) origin() uint64 {
	return h.Lineage.originOf(h.Cluster)
}

package replica

// A Lineage tells where a cluster comes from by forced recoveries.
type Lineage struct {
	// Origin is the cluster that was founded first; zero where that is the cluster itself.
	Origin uint64
	// Generation counts the forced recoveries since the founding.
	Generation uint64
}

func (l Lineage) originOf(cluster uint64) uint64 {
	if l.Origin == 0 {
		return cluster
	}
	return l.Origin
}

// next returns the lineage of the cluster that a forced recovery makes from a replica of cluster.
func (l Lineage) next(cluster uint64) Lineage {
	return Lineage{Origin: l.originOf(cluster), Generation: l.Generation + 1}
}

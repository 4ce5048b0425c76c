package replica

// A Lineage describes how a cluster descends from its first founding through forced recoveries.
type Lineage struct {
	// Origin is the id of the cluster before its first forced recovery; zero if there was none.
	Origin uint64
	// Generation is the number of forced recoveries since the founding.
	Generation uint64
}

// originOf returns the origin of the cluster with this lineage, which is the cluster itself if Origin is zero.
func (l Lineage) originOf(cluster uint64) uint64 {
	if l.Origin == 0 {
		return cluster
	}
	return l.Origin
}

// next returns the lineage of the new cluster after a forced recovery of the given one.
func (l Lineage) next(cluster uint64) Lineage {
	return Lineage{Origin: l.originOf(cluster), Generation: l.Generation + 1}
}

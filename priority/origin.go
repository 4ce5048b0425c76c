package priority

// An Origin holds the properties that all calls of one root request share. They have the same RootHash, so
// that all hops shed the same root requests.
type Origin struct {
	Priority  int
	Workspace string
	RootHash  uint64
}

// ShedBy reports whether the root request is shed when the given share of all root requests is shed.
func (o Origin) ShedBy(share float64) bool {
	return hashFraction(o.RootHash) < share
}

// Begun returns the origin of a call of a root request that has begun, which no level sheds.
func (o Origin) Begun() Origin {
	o.Priority = begunPriority
	return o
}

// begunPriority is more important than every rank.
const begunPriority = -1

// hashFraction maps hash uniformly to [0, 1).
func hashFraction(hash uint64) float64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	return float64(hash>>11) / (1 << 53)
}

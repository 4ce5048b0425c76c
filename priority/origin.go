package priority

// An Origin is what all calls of one whole request share. Requests of one whole request have the same
// WholeHash, so that all hops shed the same ones.
type Origin struct {
	Priority  int
	Workspace string
	WholeHash uint64
}

// ShedBy reports whether the whole request is one of the share of all that is shed.
func (o Origin) ShedBy(share float64) bool {
	return hashFraction(o.WholeHash) < share
}

// hashFraction spreads hash over [0, 1).
func hashFraction(hash uint64) float64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	return float64(hash>>11) / (1 << 53)
}

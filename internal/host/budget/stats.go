package budget

// Stats holds what is held and what was refused.
type Stats struct {
	// Open is the number of connections.
	Open int `json:"open"`
	// Bytes holds the estimated memory by kind of holding.
	Bytes map[string]int64 `json:"bytes"`
	// GivenUp counts the connections that were closed to make room.
	GivenUp int64 `json:"given-up"`
	// RefusedConnections counts the connections for which there was no room.
	RefusedConnections int64 `json:"refused-connections"`
	// Refused counts the requests, bodies and answers for which there was no room.
	Refused int64 `json:"refused"`
}

// Stats returns the present state and the counts since the start.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.stats
	stats.Open = len(b.holders)
	stats.Bytes = make(map[string]int64, int(kindCount))
	for kind := range kindCount {
		stats.Bytes[kind.String()] = b.held[kind]
	}
	return stats
}

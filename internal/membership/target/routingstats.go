package target

// RoutingStats counts the calls and reports of a service whose targets report their load.
type RoutingStats struct {
	// Near and Far are the calls sent within the failure domain and beyond.
	Near uint64 `json:"near"`
	Far  uint64 `json:"far"`
	// Spill is the share of calls that leaves the failure domain at this moment, from 0 to 1.
	Spill float64 `json:"spill"`
	// Reports is the number of load reports received.
	Reports uint64 `json:"reports"`
	// Aged is the number of choices made without a load report of the last second.
	Aged uint64 `json:"aged"`
}

// Routing returns the statistics of each known service whose targets have reported their load.
func (c *Chooser) Routing() map[string]RoutingStats {
	stats := make(map[string]RoutingStats)
	c.table.services.forEach(func(service string, members []*member) bool {
		if r := members[0].routing; r.reports.Load() > 0 {
			stats[service] = RoutingStats{Near: r.near.Load(), Far: r.far.Load(), Spill: r.spill.Share(), Reports: r.reports.Load(), Aged: r.aged.Load()}
		}
		return true
	})
	return stats
}

package target

import (
	"slices"
	"time"

	"sapphirespread.example/priority"
)

// Level returns the median level of service's targets by strictness, so that at least half of them shed what it sheds.
// Targets that are draining, ejected, silent or out of use, or whose last level has expired, don't count.
func (c *Chooser) Level(now time.Time, service string) priority.Level {
	members, _ := c.table.services.get(service)
	at := c.offset(now)
	var levels []priority.Level
	for _, m := range members {
		if m.drained.Load() || at < m.ejectedUntil.Load() || c.isOutOfUse(m.target()) || c.isSilent(m, at) {
			continue
		}
		if level, known := m.currentLevel(now); known {
			levels = append(levels, level)
		}
	}
	if len(levels) == 0 {
		return priority.Level{}
	}
	slices.SortFunc(levels, func(a, b priority.Level) int { return priority.CompareStrictness(now, a, b) })
	return levels[(len(levels)-1)/2]
}

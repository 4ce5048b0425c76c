package target

import (
	"slices"
	"time"

	"sapphirespread.example/priority"
)

// Level returns what half of the targets of service shed at least, as far as they are known: the level of the
// middle one by strictness. A target that was last heard to shed, too long ago, doesn't count.
func (c *Chooser) Level(now time.Time, service string) priority.Level {
	members, _ := c.table.services.get(service)
	at := c.offset(now)
	var levels []priority.Level
	for _, m := range members {
		if m.drained.Load() || at < m.ejectedUntil.Load() || c.silent(m, at) {
			continue
		}
		if level, known := m.knownLevel(now); known {
			levels = append(levels, level)
		}
	}
	if len(levels) == 0 {
		return priority.Level{}
	}
	slices.SortFunc(levels, func(a, b priority.Level) int { return priority.CompareStrictness(now, a, b) })
	return levels[(len(levels)-1)/2]
}

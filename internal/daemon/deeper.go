package daemon

import (
	"sync"
	"time"

	"sapphirespread.example/priority"
)

// deeper carries the levels of deeper services up the chain of calls, so that a request that one of them
// would shed is refused before any service runs it.
type deeper struct {
	chooser      chooser
	levels       sync.Map // priority.Callee to *priority.Level, as the callee's targets last reported it
	mu           sync.Mutex
	dependencies *priority.Dependencies
}

func newDeeper(chooser chooser) *deeper {
	return &deeper{chooser: chooser, dependencies: priority.NewDependencies()}
}

// heard takes what a target of callee reported of the services below it.
func (d *deeper) heard(callee priority.Callee, level priority.Level) {
	if level.ValidUntil.IsZero() {
		return
	}
	d.levels.Store(callee, &level)
}

// below returns what the services below callee shed.
func (d *deeper) below(callee priority.Callee) *priority.Level {
	level, known := d.levels.Load(callee)
	if !known {
		return &priority.Level{}
	}
	return level.(*priority.Level)
}

// answered takes the deeper calls of a run that was answered well.
func (d *deeper) answered(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dependencies.RecordSuccess(c.route, c.callees())
}

// level returns what the services shed that runs of route need.
func (d *deeper) level(now time.Time, route string) priority.Level {
	d.mu.Lock()
	needed := d.dependencies.Needed(route)
	d.mu.Unlock()
	var level priority.Level
	for _, callee := range needed {
		level = priority.Stricter(now, level, d.chooser.Level(now, callee.Service))
		level = priority.Stricter(now, level, *d.below(callee))
	}
	return level
}

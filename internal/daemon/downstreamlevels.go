package daemon

import (
	"sync"
	"time"

	"sapphirespread.example/priority"
)

// deeper carries the levels of deeper services up the chain of calls, so that a request that one of them
// would shed is refused before any service runs it.
type downstreamLevels struct {
	chooser      chooser
	byCallee     sync.Map // priority.Callee to *priority.Level, as the callee's targets last reported it
	mu           sync.Mutex
	dependencies *priority.Dependencies
}

func newDownstreamLevels(chooser chooser) *downstreamLevels {
	return &downstreamLevels{chooser: chooser, dependencies: priority.NewDependencies()}
}

// heard takes what a target of callee reported of the services below it.
func (l *downstreamLevels) recordLevel(callee priority.Callee, level priority.Level) {
	if level.ValidUntil.IsZero() {
		return
	}
	l.byCallee.Store(callee, &level)
}

// below returns what the services below callee shed.
func (l *downstreamLevels) reportedLevel(callee priority.Callee) *priority.Level {
	level, known := l.byCallee.Load(callee)
	if !known {
		return &priority.Level{}
	}
	return level.(*priority.Level)
}

// answered takes the deeper calls of a run that was answered well.
func (l *downstreamLevels) recordSuccess(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dependencies.RecordSuccess(c.route, c.nestedCallees())
}

// level returns what the services shed that runs of route need.
func (l *downstreamLevels) currentLevel(now time.Time, route string) priority.Level {
	l.mu.Lock()
	needed := l.dependencies.Needed(route)
	l.mu.Unlock()
	var level priority.Level
	for _, callee := range needed {
		level = priority.Stricter(now, level, l.chooser.Level(now, callee.Service))
		level = priority.Stricter(now, level, *l.reportedLevel(callee))
	}
	return level
}

package daemon

import (
	"sync"
	"time"

	"sapphirespread.example/priority"
)

// downstreamLevels propagates the shedding levels of downstream services up the call path, so that a request that one
// of them would shed is refused before any service runs it.
type downstreamLevels struct {
	chooser      chooser
	byCallee     sync.Map // priority.Callee to *priority.Level, as last reported by a target of the callee
	mu           sync.Mutex
	dependencies *priority.Dependencies
}

func newDownstreamLevels(chooser chooser) *downstreamLevels {
	return &downstreamLevels{chooser: chooser, dependencies: priority.NewDependencies()}
}

// recordLevel records the level that a target of callee reported for its downstream services.
func (l *downstreamLevels) recordLevel(callee priority.Callee, level priority.Level) {
	if level.ValidUntil.IsZero() {
		return
	}
	l.byCallee.Store(callee, &level)
}

// reportedLevel returns the last reported level of the services downstream of callee, or an empty level.
func (l *downstreamLevels) reportedLevel(callee priority.Callee) *priority.Level {
	level, known := l.byCallee.Load(callee)
	if !known {
		return &priority.Level{}
	}
	return level.(*priority.Level)
}

// recordSuccess records the nested calls of a run that succeeded.
func (l *downstreamLevels) recordSuccess(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dependencies.RecordSuccess(c.route, c.nestedCallees())
}

// currentLevel returns the strictest level of the services that runs of route depend on, directly or through other
// services.
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

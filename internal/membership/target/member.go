package target

import (
	"sync"
	"sync/atomic"
	"time"

	"sapphirespread.example/internal/routing/completion"
	"sapphirespread.example/priority"
)

// member holds a target and the daemon's observations of it. Fields that a choice reads are atomic, so that a choice
// takes no lock. mu guards the others and serializes observations.
type member struct {
	announced      atomic.Pointer[Target]
	needsSlowStart bool // joined a service that already had targets
	drained        atomic.Bool

	inFlight     atomic.Int64
	firstSeen    atomic.Int64 // times are offsets in nanoseconds, see Chooser.offset
	lastActivity atomic.Int64
	ejectedUntil atomic.Int64
	latency      atomic.Int64 // moving average that rises at once, in nanoseconds
	lastAnswer   atomic.Int64
	bestLatency  atomic.Int64 // lowest recent latency, in nanoseconds
	refusedShare movingShare
	failedShare  movingShare
	erroredShare movingShare
	level        atomic.Pointer[priority.Level]
	pace         reportedPace
	completion   completion.Estimator
	routing      *serviceRouting

	mu                  sync.Mutex
	consecutiveFailures int
	ejectionBackoff     int
}

func newMember(t Target, needsSlowStart bool, routing *serviceRouting) *member {
	m := &member{needsSlowStart: needsSlowStart, routing: routing}
	m.announced.Store(&t)
	m.drained.Store(t.State == Draining)
	m.pace.announce(t.Pace)
	return m
}

func (m *member) target() *Target {
	return m.announced.Load()
}

// update applies a later announcement of the same incarnation and returns the resulting state.
func (m *member) update(t Target) State {
	t.State = laterState(m.target().State, t.State)
	if t.State == Draining {
		m.drained.Store(true)
	}
	if t.Pace != m.target().Pace {
		m.pace.announce(t.Pace)
	}
	m.announced.Store(&t)
	return t.State
}

// currentLevel returns the level that the target last reported. known is false if that level has expired.
func (m *member) currentLevel(now time.Time) (level priority.Level, known bool) {
	l := m.level.Load()
	if l == nil {
		return priority.Level{}, true
	}
	return *l, now.Before(l.ValidUntil)
}

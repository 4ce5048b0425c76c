package target

import (
	"math"
	"time"
)

const (
	silenceLatencyMultiple = 4
	slowStartFloor         = 0.1
	latencyHalfLife        = 500 * time.Millisecond
	idleHalfLife           = 2 * time.Second
	bestLatencyDoubling    = 10 * time.Second
	failureHalfLife        = 2 * time.Second
	refusalWindow          = 500 * time.Millisecond
	answerWeight           = 0.1 // weight of one answer in a movingShare
	ejectAfterFailures     = 5
	ejectFailureShare      = 0.5
	minEjection            = time.Second
	maxEjection            = 30 * time.Second
	millionths             = 1e6
)

// decrementInFlight removes one call from the in-flight count. The count stays at 0 for an answer to a call that an
// earlier incarnation received, because each incarnation starts a new count.
func (m *member) decrementInFlight() {
	for {
		n := m.inFlight.Load()
		if n <= 0 || m.inFlight.CompareAndSwap(n, n-1) {
			return
		}
	}
}

// observe records one answer and reports whether the target's failures make it an outlier.
func (m *member) observe(at int64, o Observation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Kind != Unreachable {
		m.lastActivity.Store(at)
		m.storeLevel(o)
		m.observePace(at, o)
		m.observeLoad(at, o)
	}
	m.refusedShare.observe(at, o.Kind == Refused)
	switch o.Kind {
	case OK:
		m.observeLatency(at, int64(o.Latency))
		m.observeOutcome(at, false)
		m.erroredShare.observe(at, false)
	case Errored:
		if m.latency.Load() > 0 {
			m.observeLatencyRise(at, int64(o.Latency))
		}
		m.observeOutcome(at, false)
		m.erroredShare.observe(at, true)
	case Failed:
		m.observeLatencyRise(at, int64(o.Latency))
		m.observeOutcome(at, true)
	case Unreachable:
		m.eject(at)
		return false
	case Refused:
		return false
	}
	return m.consecutiveFailures >= ejectAfterFailures || m.failedShare.share() > ejectFailureShare
}

// observeLoad records the load that the target reported, if it did.
func (m *member) observeLoad(at int64, o Observation) {
	if !o.Load.Known() {
		return
	}
	m.completion.Observe(time.Duration(at), o.Load)
	if o.Transit > 0 {
		m.completion.ObserveTransit(time.Duration(at), o.Transit)
	}
}

func (m *member) storeLevel(o Observation) {
	if o.Level.ValidUntil.IsZero() {
		m.level.Store(nil)
		return
	}
	level := o.Level
	m.level.Store(&level)
}

// observePace stores the pace of an answer, unless it comes from an earlier incarnation.
func (m *member) observePace(at int64, o Observation) {
	if o.Pace > 0 && (o.Incarnation == 0 || o.Incarnation >= m.target().Incarnation) {
		m.pace.report(at, o.Pace)
	}
}

// observeLatency raises the average latency at once and lowers it with a half-life of latencyHalfLife.
func (m *member) observeLatency(at, latency int64) {
	latency = max(latency, 1)
	elapsed := max(at-m.lastAnswer.Load(), 0)
	current := m.latency.Load()
	if latency < current {
		keep := decayFactor(elapsed, latencyHalfLife)
		latency = int64(float64(current)*keep + float64(latency)*(1-keep))
	}
	best := m.bestLatency.Load()
	best += int64(float64(best) * float64(elapsed) / float64(bestLatencyDoubling))
	if best == 0 || latency < best {
		best = latency
	}
	m.lastAnswer.Store(at)
	m.latency.Store(latency)
	m.bestLatency.Store(best)
}

// observeLatencyRise records the latency of an error. It never lowers the average, so that a target that fails fast
// doesn't attract calls.
func (m *member) observeLatencyRise(at, latency int64) {
	m.observeLatency(at, max(latency, m.latency.Load()))
}

// expectedLatency returns the average latency in nanoseconds. Its excess over the best recent latency decays while no
// answers arrive, and is halved after idleHalfLife.
func (m *member) expectedLatency(at int64) int64 {
	best := m.bestLatency.Load()
	excess := float64(m.latency.Load() - best)
	idle := float64(max(at-m.lastAnswer.Load(), 0))
	return best + int64(excess*float64(idleHalfLife)/(float64(idleHalfLife)+idle))
}

func decayFactor(elapsed int64, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

func (m *member) observeOutcome(at int64, failed bool) {
	m.failedShare.observe(at, failed)
	if failed {
		m.consecutiveFailures++
		return
	}
	m.consecutiveFailures = 0
	m.ejectionBackoff = max(0, m.ejectionBackoff-1)
}

// ejectOutlier ejects a target for its failures.
func (m *member) ejectOutlier(at int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.eject(at)
}

// eject excludes the target from choices for a time that doubles with each ejection, up to maxEjection. Each OK or
// Errored answer takes one doubling back.
func (m *member) eject(at int64) {
	if at < m.ejectedUntil.Load() {
		return
	}
	d := min(minEjection<<min(m.ejectionBackoff, 5), maxEjection)
	m.ejectionBackoff++
	m.consecutiveFailures = 0
	m.failedShare.reset()
	m.ejectedUntil.Store(at + int64(d))
}

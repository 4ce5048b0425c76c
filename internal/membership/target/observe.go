package target

import (
	"math"
	"time"
)

const (
	silenceLatencies   = 4
	slowStartFloor     = 0.1
	latencyHalfLife    = 500 * time.Millisecond
	idleHalving        = 2 * time.Second
	bestDoubles        = 10 * time.Second
	failureMemory      = 2 * time.Second
	refusalMemory      = 500 * time.Millisecond
	answerWeight       = 0.1 // of one answer in moving shares
	ejectAfterFailures = 5
	ejectFailureShare  = 0.5
	ejectionBase       = time.Second
	ejectionCeiling    = 30 * time.Second
	millionths         = 1e6
)

// settle takes one call off the in-flight count; a call sent to an earlier incarnation has none left.
func (m *member) settle() {
	for {
		n := m.inFlight.Load()
		if n <= 0 || m.inFlight.CompareAndSwap(n, n-1) {
			return
		}
	}
}

// observe takes one answer and reports whether the target is an outlier by its failures.
func (m *member) observe(at int64, o Observation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Kind != Unreachable {
		m.quietSince.Store(at)
		m.takeLevel(o)
	}
	m.refused.observe(at, o.Kind == Refused)
	switch o.Kind {
	case OK:
		m.observeLatency(at, int64(o.Latency))
		m.observeOutcome(at, false)
		m.errored.observe(at, false)
	case Errored:
		if m.latency.Load() > 0 {
			m.observeSlower(at, int64(o.Latency))
		}
		m.observeOutcome(at, false)
		m.errored.observe(at, true)
	case Failed:
		m.observeSlower(at, int64(o.Latency))
		m.observeOutcome(at, true)
	case Unreachable:
		m.eject(at)
		return false
	case Refused:
		return false
	}
	return m.failedInRow >= ejectAfterFailures || m.failed.share() > ejectFailureShare
}

func (m *member) takeLevel(o Observation) {
	if o.Level.ValidUntil.IsZero() {
		m.level.Store(nil)
		return
	}
	level := o.Level
	m.level.Store(&level)
}

// observeLatency follows a rise at once and a fall by half-life.
func (m *member) observeLatency(at, latency int64) {
	latency = max(latency, 1)
	elapsed := max(at-m.answeredAt.Load(), 0)
	held := m.latency.Load()
	if latency < held {
		keep := halved(elapsed, latencyHalfLife)
		latency = int64(float64(held)*keep + float64(latency)*(1-keep))
	}
	best := m.best.Load()
	best += int64(float64(best) * float64(elapsed) / float64(bestDoubles))
	if best == 0 || latency < best {
		best = latency
	}
	m.answeredAt.Store(at)
	m.latency.Store(latency)
	m.best.Store(best)
}

// observeSlower follows a rise alone: a fast error must not look like a fast answer.
func (m *member) observeSlower(at, latency int64) {
	m.observeLatency(at, max(latency, m.latency.Load()))
}

// expectedLatency falls from the moving average to the best recent latency while nothing is answered.
func (m *member) expectedLatency(at int64) int64 {
	best := m.best.Load()
	above := float64(m.latency.Load() - best)
	idle := float64(max(at-m.answeredAt.Load(), 0))
	return best + int64(above*float64(idleHalving)/(float64(idleHalving)+idle))
}

func halved(elapsed int64, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

func (m *member) observeOutcome(at int64, failed bool) {
	m.failed.observe(at, failed)
	if failed {
		m.failedInRow++
		return
	}
	m.failedInRow = 0
	m.ejections = max(0, m.ejections-1)
}

// ejectOutlier ejects a target for its failures.
func (m *member) ejectOutlier(at int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.eject(at)
}

// eject takes the target out of choice, longer each time until it answers again.
func (m *member) eject(at int64) {
	if at < m.ejectedUntil.Load() {
		return
	}
	d := min(ejectionBase<<min(m.ejections, 5), ejectionCeiling)
	m.ejections++
	m.failedInRow = 0
	m.failed.reset()
	m.ejectedUntil.Store(at + int64(d))
}

package target

import (
	"slices"
	"sync/atomic"
	"time"

	"sapphirespread.example/priority"
)

// A Chooser picks a target for each call by what its daemon observed. It is safe for concurrent use.
type Chooser struct {
	table         *Table
	failureDomain string
	daemon        string
	silence       time.Duration
	slowStart     time.Duration
	farCost       float64
	start         atomic.Pointer[time.Time]
}

// NewChooser returns a chooser among the targets of table.
func NewChooser(table *Table, opts ...ChooserOption) *Chooser {
	c := &Chooser{table: table, silence: defaultSilence, slowStart: defaultSlowStart, farCost: 1}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Choose picks a target of service that is not in exclude. It reports ok false where none can take the
// call, and then shed true where the only reason is that every target sheds it.
func (c *Chooser) Choose(now time.Time, random uint64, service string, origin priority.Origin, exclude []string) (choice Choice, ok, shed bool) {
	members, _ := c.table.services.get(service)
	s := selection{chooser: c, now: now, at: c.offset(now), origin: origin, members: members, least: 1}
	s.sort(exclude)
	m := s.pick(random)
	if m == nil {
		return Choice{}, false, s.shed > 0
	}
	target := m.target()
	return Choice{Target: *target, Local: c.local(target), Shed: s.least}, true, false
}

// Sent notes that a call to the target goes out.
func (c *Chooser) Sent(now time.Time, name string) {
	m, known := c.table.members.get(name)
	if !known {
		return
	}
	if m.inFlight.Add(1) == 1 {
		m.quietSince.Store(c.offset(now))
	}
}

// Answered notes how a call to the target ended.
func (c *Chooser) Answered(now time.Time, name string, o Observation) {
	m, known := c.table.members.get(name)
	if !known {
		return
	}
	m.settle()
	// An earlier start says nothing about the one that took its place meanwhile.
	if o.Draining && (o.Incarnation == 0 || m.target().Incarnation <= o.Incarnation) {
		m.drained.Store(true)
	}
	at := c.offset(now)
	if m.observe(at, o) && c.ejectionsLeft(m, at) > 0 {
		m.ejectOutlier(at)
	}
}

// Heard notes a sign of life of the target's daemon that ends no call, such as the answer to a keepalive.
func (c *Chooser) Heard(now time.Time, name string) {
	if m, known := c.table.members.get(name); known {
		m.quietSince.Store(c.offset(now))
	}
}

func (c *Chooser) local(t *Target) bool {
	return c.daemon != "" && t.Daemon == c.daemon
}

// offset returns now as nanoseconds from the first time that the chooser was given, at least 1.
func (c *Chooser) offset(now time.Time) int64 {
	start := c.start.Load()
	if start == nil {
		first := now.Add(-time.Nanosecond)
		c.start.CompareAndSwap(nil, &first)
		start = c.start.Load()
	}
	return max(1, int64(now.Sub(*start)))
}

// silent reports whether the target owes answers and has given no sign of life for too long.
func (c *Chooser) silent(m *member, at int64) bool {
	if m.inFlight.Load() == 0 || c.local(m.target()) {
		return false
	}
	limit := max(int64(c.silence), silenceLatencies*m.latency.Load())
	return at-m.quietSince.Load() > limit
}

// ejectionsLeft returns how many more targets of m's service may be ejected for failures.
func (c *Chooser) ejectionsLeft(m *member, at int64) int {
	members, _ := c.table.services.get(m.target().Service)
	left := len(members) / 2
	for _, other := range members {
		if other != m && at < other.ejectedUntil.Load() {
			left--
		}
	}
	return left
}

// weight returns the share of a warm target's load that m takes, from slowStartFloor to 1.
func (c *Chooser) weight(m *member, at int64) float64 {
	if !m.cold || c.slowStart <= 0 {
		return 1
	}
	first := m.firstSeen.Load()
	if first == 0 {
		m.firstSeen.CompareAndSwap(0, at)
		first = m.firstSeen.Load()
	}
	return min(1, slowStartFloor+float64(at-first)/float64(c.slowStart))
}

func excluded(name string, exclude []string) bool {
	return len(exclude) > 0 && slices.Contains(exclude, name)
}

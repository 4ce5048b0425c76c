package target

import (
	"slices"
	"sync/atomic"
	"time"

	"sapphirespread.example/priority"
)

// A Chooser picks a target for each call from the daemon's own observations. It is safe for concurrent use.
type Chooser struct {
	table           *Table
	failureDomain   string
	daemon          string
	silenceTimeout  time.Duration
	slowStart       time.Duration
	crossDomainCost float64
	onSpill         func(SpillEvent)
	firstTime       atomic.Pointer[time.Time]
	outOfUse        atomic.Pointer[[]string] // failure domains, nil while all are in use
}

// NewChooser returns a Chooser over the targets of table.
func NewChooser(table *Table, opts ...ChooserOption) *Chooser {
	c := &Chooser{table: table, silenceTimeout: defaultSilenceTimeout, slowStart: defaultSlowStart, crossDomainCost: 1, onSpill: func(SpillEvent) {}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Choose picks a target of service whose name is not in exclude. If no target can take the call, ok is false, and
// shed reports whether the reason is that targets shed the request.
func (c *Chooser) Choose(now time.Time, random uint64, service string, origin priority.Origin, exclude []string) (choice Choice, ok, shed bool) {
	members, _ := c.table.services.get(service)
	sel := selection{chooser: c, now: now, at: c.offset(now), origin: origin, members: members, random: random, minShedShare: 1}
	sel.classify(exclude)
	m := sel.pick(random)
	if m == nil {
		return Choice{}, false, sel.shedCount > 0
	}
	target := m.target()
	return Choice{Target: *target, Local: c.isLocal(target), ShedShare: sel.minShedShare}, true, false
}

// Sent records that a call is sent to the target.
func (c *Chooser) Sent(now time.Time, name string) {
	m, known := c.table.members.get(name)
	if !known {
		return
	}
	c.recordSent(m)
	if m.inFlight.Add(1) == 1 {
		m.lastActivity.Store(c.offset(now))
	}
}

// recordSent counts a call to m since its last report, and as one within the failure domain or beyond.
func (c *Chooser) recordSent(m *member) {
	m.completion.Sent()
	if m.target().FailureDomain == c.failureDomain {
		m.routing.near.Add(1)
	} else {
		m.routing.far.Add(1)
	}
}

// Answered records how a call to the target ended.
func (c *Chooser) Answered(now time.Time, name string, o Observation) {
	m, known := c.table.members.get(name)
	if !known {
		return
	}
	m.decrementInFlight()
	// A late answer from an earlier incarnation must not drain its successor.
	if o.Draining && (o.Incarnation == 0 || m.target().Incarnation <= o.Incarnation) {
		m.drained.Store(true)
	}
	at := c.offset(now)
	if m.observe(at, o) && c.ejectionsLeft(m, at) > 0 {
		m.ejectOutlier(at)
	}
	c.updateRouting(m, at, o)
}

// RecordHeartbeat records a heartbeat of the target's daemon that ends no call, such as the answer to a keepalive.
func (c *Chooser) RecordHeartbeat(now time.Time, name string) {
	if m, known := c.table.members.get(name); known {
		m.lastActivity.Store(c.offset(now))
	}
}

// SetOutOfUse sets the failure domains whose targets are not chosen, even if a service has no others.
func (c *Chooser) SetOutOfUse(domains []string) {
	if len(domains) == 0 {
		c.outOfUse.Store(nil)
		return
	}
	domains = slices.Clone(domains)
	c.outOfUse.Store(&domains)
}

func (c *Chooser) isOutOfUse(t *Target) bool {
	domains := c.outOfUse.Load()
	return domains != nil && slices.Contains(*domains, t.FailureDomain)
}

func (c *Chooser) isLocal(t *Target) bool {
	return c.daemon != "" && t.Daemon == c.daemon
}

// offset returns the nanoseconds between the first time passed to the chooser and now. It is at least 1, because 0
// marks an unset field of a member.
func (c *Chooser) offset(now time.Time) int64 {
	firstTime := c.firstTime.Load()
	if firstTime == nil {
		first := now.Add(-time.Nanosecond)
		c.firstTime.CompareAndSwap(nil, &first)
		firstTime = c.firstTime.Load()
	}
	return max(1, int64(now.Sub(*firstTime)))
}

// isSilent reports whether the target has calls in flight and sent neither an answer nor a heartbeat within the
// silence timeout, or within a multiple of its latency if that is longer. The local target is never silent.
func (c *Chooser) isSilent(m *member, at int64) bool {
	if m.inFlight.Load() == 0 || c.isLocal(m.target()) {
		return false
	}
	limit := max(int64(c.silenceTimeout), silenceLatencyMultiple*m.latency.Load())
	return at-m.lastActivity.Load() > limit
}

// ejectionsLeft returns how many more targets of m's service may be ejected for failures: at most half of the
// service's targets in use are ejected at once.
func (c *Chooser) ejectionsLeft(m *member, at int64) int {
	members, _ := c.table.services.get(m.target().Service)
	inUse, ejected := 0, 0
	for _, other := range members {
		if c.isOutOfUse(other.target()) {
			continue
		}
		inUse++
		if other != m && at < other.ejectedUntil.Load() {
			ejected++
		}
	}
	return inUse/2 - ejected
}

// weight returns the load that m takes during its slow start relative to full load, from slowStartFloor to 1.
func (c *Chooser) weight(m *member, at int64) float64 {
	if !m.needsSlowStart || c.slowStart <= 0 || m.pace.known() {
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

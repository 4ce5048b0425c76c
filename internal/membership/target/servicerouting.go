package target

import (
	"sync"
	"sync/atomic"
	"time"

	"sapphirespread.example/internal/routing/locality"
)

// objectiveRetention is the time after which a latency objective that no call has had since is forgotten.
const objectiveRetention = time.Minute

// serviceRouting is the state that all targets of one service share.
type serviceRouting struct {
	reporting  atomic.Bool // most near targets report their load
	nextUpdate atomic.Int64
	near, far  atomic.Uint64 // calls sent within the failure domain and beyond
	reports    atomic.Uint64 // load reports received
	aged       atomic.Uint64 // choices made without a report of the last second
	spill      locality.Spill

	mu          sync.Mutex
	objective   time.Duration // lowest objective of recent calls
	objectiveAt int64
}

// observeObjective keeps the lowest latency objective of recent calls. The caller must hold r.mu.
func (r *serviceRouting) observeObjective(at int64, objective time.Duration) {
	if objective <= 0 {
		return
	}
	if r.objective == 0 || objective <= r.objective || at-r.objectiveAt > int64(objectiveRetention) {
		r.objective, r.objectiveAt = objective, at
	}
}

// updateRouting adapts the spill of m's service to what its targets reported, at most once in each locality.Interval.
// A service whose targets never reported is left alone.
func (c *Chooser) updateRouting(m *member, at int64, o Observation) {
	r := m.routing
	if o.Load.Known() {
		r.reports.Add(1)
	} else if !r.reporting.Load() {
		return
	}
	next := r.nextUpdate.Load()
	if at < next || !r.nextUpdate.CompareAndSwap(next, at+int64(locality.Interval)) {
		return
	}
	service := m.target().Service
	members, _ := c.table.services.get(service)
	r.mu.Lock()
	r.observeObjective(at, o.Objective)
	sample, reporting := c.sample(members, at)
	sample.Objective = r.objective
	r.reporting.Store(reporting)
	change := r.spill.Update(time.Duration(at), sample)
	r.mu.Unlock()
	if change != locality.None {
		c.onSpill(SpillEvent{Service: service, Change: change, Sample: sample})
	}
}

// sample describes the near and far targets. reporting reports whether at least half of the near targets, or of all if
// there are none, have reported their load lately.
func (c *Chooser) sample(members []*member, at int64) (sample locality.Sample, reporting bool) {
	var near, far domainSample
	for _, m := range members {
		if m.drained.Load() || at < m.ejectedUntil.Load() {
			continue
		}
		if m.target().FailureDomain == c.failureDomain {
			near.add(m, at)
		} else {
			far.add(m, at)
		}
	}
	sample = locality.Sample{Near: near.completion(), Far: far.completion(), Idle: near.serviceTime(), NearRefusing: near.refusingShare(), FarRefusing: far.refusingShare(), Price: c.crossDomainCost}
	if near.targets == 0 {
		return sample, 2*far.reporting >= far.targets
	}
	return sample, 2*near.reporting >= near.targets
}

// A domainSample sums up targets.
type domainSample struct {
	targets, reporting, refusing, known int
	expected, usual                     time.Duration
}

func (d *domainSample) add(m *member, at int64) {
	d.targets++
	if m.completion.Reporting(time.Duration(at)) {
		d.reporting++
	}
	if m.refusedShare.recentShare(at, refusalWindow) > pressureRefusedShare {
		d.refusing++
	}
	if expected, known := m.completion.Estimate(time.Duration(at)); known {
		d.known++
		d.expected += expected
		d.usual += m.completion.ServiceTime()
	}
}

func (d *domainSample) completion() time.Duration { return d.expected / time.Duration(max(d.known, 1)) }

func (d *domainSample) serviceTime() time.Duration { return d.usual / time.Duration(max(d.known, 1)) }

func (d *domainSample) refusingShare() float64 {
	return float64(d.refusing) / float64(max(d.targets, 1))
}

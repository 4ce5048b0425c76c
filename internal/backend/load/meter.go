package load

import (
	"sync"
	"time"
)

const (
	// meanHalfLife is a few times the interval between the answers of a busy server.
	meanHalfLife = time.Second
	// maxReportAge is several times the interval in which a stated slowness changes.
	maxReportAge = time.Second
	// maxRelativeSlowness bounds the effect of one stated slowness.
	maxRelativeSlowness = 4.0
	// slotsDisagreement is the factor between stated and announced slots above which the announced ones count.
	slotsDisagreement = 2
	// unseenShare bounds the calls that a server states beyond those of its daemon, such as those whose callers have left.
	unseenShare = 0.125 // of the slots
)

// A Meter keeps the newest report of the local backend server and the mean time of its answers. It is safe for
// concurrent use.
type Meter struct {
	mu          sync.Mutex
	incarnation uint64
	newest      Report
	reportedAt  time.Time
	serviceTime decayedMean // nanoseconds
	slowness    decayedMean
	evidence    evidence
	reports     uint64
}

// NewMeter returns a Meter without reports.
func NewMeter() *Meter {
	m := &Meter{}
	m.reset(0)
	return m
}

func (m *Meter) reset(incarnation uint64) {
	m.incarnation = incarnation
	m.serviceTime, m.slowness = newDecayedMean(meanHalfLife), newDecayedMean(meanHalfLife)
	m.evidence = newEvidence()
}

// Observe records the report in an answer of the given incarnation of the server. took is the time from sending the
// request to the head of its answer, or 0 if the server did not run the request. Reports without a slowness are ignored.
func (m *Meter) Observe(now time.Time, incarnation uint64, report Report, took time.Duration) {
	if report.Slowness <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if incarnation < m.incarnation {
		return
	}
	if incarnation > m.incarnation {
		m.reset(incarnation)
	}
	m.newest, m.reportedAt = report, now
	m.reports++
	m.slowness.add(now, report.Slowness)
	if took > 0 {
		m.serviceTime.add(now, float64(took))
		m.evidence.add(now, m.relativeSlowness(), float64(took)/m.serviceTime.mean())
	}
}

// relativeSlowness returns the newest stated slowness in proportion to its mean.
func (m *Meter) relativeSlowness() float64 {
	return min(max(m.newest.Slowness/m.slowness.mean(), 1/maxRelativeSlowness), maxRelativeSlowness)
}

// State returns the state to report to callers, with the daemon's own counts of running and waiting calls and the slots
// that the server announced. It returns no report if the server has stated none within the last second.
func (m *Meter) State(now time.Time, running, waiting, announcedSlots int) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	age := now.Sub(m.reportedAt)
	if age > maxReportAge || m.serviceTime.weight == 0 {
		return State{}
	}
	slots := agreedSlots(m.newest.Slots, announcedSlots)
	unseen := min(max(m.newest.Running+m.newest.Waiting-running, 0), int(unseenShare*float64(slots)))
	return State{
		InFlight:    running + waiting + unseen,
		Slots:       slots,
		ServiceTime: time.Duration(m.serviceTime.mean()),
		Slowness:    1 + (m.relativeSlowness()-1)*m.evidence.trust(),
		Age:         max(age, 0),
	}
}

// Reports returns the number of reports observed.
func (m *Meter) Reports() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reports
}

// agreedSlots returns the stated slots unless they contradict the announced ones.
func agreedSlots(stated, announced int) int {
	if announced > 0 && (stated > slotsDisagreement*announced || stated*slotsDisagreement < announced) {
		return announced
	}
	return stated
}

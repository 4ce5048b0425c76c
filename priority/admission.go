package priority

import (
	"time"

	"sapphirespread.example/refusal"
)

const (
	queuePerLimit  = 4
	queueMinimum   = 64
	queueMaximum   = 4096
	newestFirstLag = 100 * time.Millisecond
	tickInterval   = 10 * time.Millisecond

	nestedWaits       = 2
	nestedSlackParts  = 4
	nestedWaitMinimum = 10 * time.Millisecond
	// objectiveWaits is the part of its latency objective that a request may wait; beyond it the answer is late, and
	// its caller is better told to come back.
	objectiveWaits = 4
)

// An Admission decides for one target which requests run, wait and are refused. The caller holds one
// lock around all calls.
type Admission struct {
	queueBound    int
	levelValidity time.Duration
	limiter       *limiter
	queue         *queue
	running       map[uint64]string // routes of the running requests
	service       serviceTimes
	shedder       *shedder
	droppedAt     time.Time // when late requests were dropped last
	tickAt        time.Time // when Tick is due, or zero
	stats         Stats
}

// NewAdmission returns an admission with nothing running.
func NewAdmission(opts ...AdmissionOption) *Admission {
	a := &Admission{
		levelValidity: defaultLevelValidity,
		limiter:       newLimiter(defaultSlots),
		queue:         newQueue(),
		running:       make(map[uint64]string),
		service:       newServiceTimes(),
		shedder:       newShedder(),
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Offer takes one request and returns the verdicts on it and on those that it displaced; a request
// without a verdict waits.
func (a *Admission) Offer(now time.Time, r Request) []Verdict {
	if a.known(r.ID) {
		return nil
	}
	a.shedder.arrived(r)
	verdicts := a.advance(now, nil)
	if !a.service.meets(now, &r) {
		return a.refuse(verdicts, r.ID, refusal.DeadlineUnreachable)
	}
	if a.queue.len() == 0 && a.free() {
		return a.admit(verdicts, r)
	}
	if lowest, bounded := a.lowestWaiting(); bounded && r.Priority > lowest && !a.free() {
		return a.refuse(verdicts, r.ID, refusal.Overloaded)
	}
	a.queue.push(now, a.waitsUntil(now, &r), r)
	verdicts = a.fill(now, verdicts)
	return a.bound(now, verdicts)
}

// Done notes the end of an admitted request and returns the verdicts that its slot allows.
func (a *Admission) Done(now time.Time, id uint64, result Result) []Verdict {
	route, known := a.running[id]
	if !known {
		return nil
	}
	a.limiter.done(now, result, len(a.running), a.queue.len() > 0)
	delete(a.running, id)
	a.shedder.completed(result.Latency)
	if !result.Failed {
		a.service.observe(now, route, result.Latency)
	}
	return a.fill(now, a.advance(now, nil))
}

// Cancel takes out a request whose caller left, waiting or running.
func (a *Admission) Cancel(now time.Time, id uint64) []Verdict {
	if w, waits := a.queue.byID[id]; waits {
		a.queue.remove(w)
	}
	delete(a.running, id)
	return a.fill(now, a.advance(now, nil))
}

// Tick refuses the waiting requests that can't meet their deadline any more, or have waited for too long.
func (a *Admission) Tick(now time.Time) []Verdict {
	a.tickAt = time.Time{}
	return a.fill(now, a.dropImpatient(now, a.dropLate(now, a.advance(now, nil))))
}

// NextTick returns when Tick has something to do next, or the zero time where nothing waits. Until then it returns the same
// time, however often it is asked.
func (a *Admission) NextTick(now time.Time) time.Time {
	switch {
	case a.queue.len() == 0:
		a.tickAt = time.Time{}
	case a.tickAt.IsZero():
		a.tickAt = now.Add(tickInterval)
	}
	return a.tickAt
}

// Announce takes the slots that the backend server announces; they are where the limit starts from.
func (a *Admission) Announce(_ time.Time, slots int) {
	a.limiter.announce(slots)
}

// Level returns what upstream daemons shed before they send.
func (a *Admission) Level(now time.Time) Level {
	level, shedding := a.shedder.level()
	if !shedding {
		return Level{}
	}
	level.ValidUntil = now.Add(a.levelValidity)
	return level
}

// Stats returns the current numbers.
func (a *Admission) Stats(_ time.Time) Stats {
	stats := a.stats
	stats.Limit = a.limiter.current()
	stats.Running = len(a.running)
	stats.Waiting = a.queue.len()
	return stats
}

// ServiceTime returns what a run of route is expected to take, or 0 where none has been seen.
func (a *Admission) ServiceTime(now time.Time, route string) time.Duration {
	return a.service.expected(now, route)
}

func (a *Admission) known(id uint64) bool {
	_, runs := a.running[id]
	_, waits := a.queue.byID[id]
	return runs || waits
}

func (a *Admission) free() bool {
	return len(a.running) < a.limiter.current()
}

// fill admits waiting requests into free slots.
func (a *Admission) fill(now time.Time, verdicts []Verdict) []Verdict {
	for a.free() {
		w := a.queue.next(a.newestFirst(now))
		if w == nil {
			return verdicts
		}
		if !a.service.meets(now, &w.request) {
			a.queue.remove(w)
			verdicts = a.refuse(verdicts, w.request.ID, refusal.DeadlineUnreachable)
			continue
		}
		a.queue.dispatch(w)
		verdicts = a.admit(verdicts, w.request)
	}
	return verdicts
}

// bound keeps the queue within its bound: late requests go first, then the least important.
func (a *Admission) bound(now time.Time, verdicts []Verdict) []Verdict {
	if a.queue.len() <= a.capacity() {
		return verdicts
	}
	if now.Sub(a.droppedAt) >= tickInterval {
		verdicts = a.dropLate(now, verdicts)
	}
	for a.queue.len() > a.capacity() {
		w := a.queue.victim()
		a.queue.remove(w)
		a.shedder.overflowed()
		verdicts = a.refuse(verdicts, w.request.ID, refusal.Overloaded)
	}
	return verdicts
}

func (a *Admission) dropLate(now time.Time, verdicts []Verdict) []Verdict {
	a.droppedAt = now
	for _, w := range a.queue.late(now, &a.service) {
		a.queue.remove(w)
		a.shedder.overflowed()
		verdicts = a.refuse(verdicts, w.request.ID, refusal.DeadlineUnreachable)
	}
	return verdicts
}

// dropImpatient refuses nested requests that have waited for too long, so that they free what they hold.
func (a *Admission) dropImpatient(now time.Time, verdicts []Verdict) []Verdict {
	for _, w := range a.queue.impatient(now) {
		a.queue.remove(w)
		a.shedder.overflowed()
		verdicts = a.refuse(verdicts, w.request.ID, refusal.Overloaded)
	}
	return verdicts
}

// waitsUntil returns until when r may wait, zero where only its deadline counts: a nested request waits for a few
// service times, and for a part of what it could wait, at most.
func (a *Admission) waitsUntil(now time.Time, r *Request) time.Time {
	if !r.Nested && r.Objective > 0 {
		return now.Add(max(r.Objective/objectiveWaits, nestedWaitMinimum))
	}
	if !r.Nested {
		return time.Time{}
	}
	service := a.service.expected(now, r.Route)
	bound := nestedWaits * service
	if !r.Deadline.IsZero() {
		bound = min(bound, (r.Deadline.Sub(now)-service)/nestedSlackParts)
	}
	return now.Add(max(bound, nestedWaitMinimum))
}

// advance lets the shedder close its window; what a rising level sheds upstream doesn't wait here either.
func (a *Admission) advance(now time.Time, verdicts []Verdict) []Verdict {
	if !a.shedder.advance(now, load{a.queue.len(), a.limiter.current(), a.free()}) {
		return verdicts
	}
	lowest, bounded := a.lowestWaiting()
	if !bounded {
		return verdicts
	}
	for _, w := range a.queue.below(lowest) {
		a.queue.remove(w)
		verdicts = a.refuse(verdicts, w.request.ID, refusal.Overloaded)
	}
	return verdicts
}

// lowestWaiting returns the least important priority that may wait: one that is shed in part upstream
// leaves no room for those below.
func (a *Admission) lowestWaiting() (priority int, bounded bool) {
	level, shedding := a.shedder.level()
	return level.Priority, shedding && level.partial()
}

func (a *Admission) newestFirst(now time.Time) bool {
	return now.Sub(a.queue.nonEmpty) > newestFirstLag
}

func (a *Admission) capacity() int {
	if a.queueBound > 0 {
		return a.queueBound
	}
	return min(max(queuePerLimit*a.limiter.current(), queueMinimum), queueMaximum)
}

func (a *Admission) admit(verdicts []Verdict, r Request) []Verdict {
	a.running[r.ID] = r.Route
	a.stats.Admitted++
	return append(verdicts, Verdict{ID: r.ID, Admitted: true})
}

func (a *Admission) refuse(verdicts []Verdict, id uint64, kind refusal.Kind) []Verdict {
	if kind == refusal.Overloaded {
		a.stats.Overloaded++
	} else {
		a.stats.Late++
	}
	return append(verdicts, Verdict{ID: id, Kind: kind})
}

package priority

import (
	"time"

	"sapphirespread.example/refusal"
)

const (
	queueLimitFactor = 4 // waiting requests per unit of the concurrency limit
	minQueueBound    = 64
	maxQueueBound    = 4096
	newestFirstAfter = 100 * time.Millisecond // time with waiting requests after which the newest is admitted first
	tickInterval     = 10 * time.Millisecond

	nestedWaitServiceTimes = 2 // in expected service times
	begunWaitServiceTimes  = 8 // the same if what has begun goes first, since its entry held back what has no room
	nestedWaitSlackDivisor = 4 // of the time left before the latest start that meets the deadline
	minQueueWait           = 10 * time.Millisecond
	// A request waits at most 1/objectiveWaitDivisor of its latency objective. An answer after a longer wait is late, so
	// the caller is told to retry instead.
	objectiveWaitDivisor = 4
)

// An Admission decides for one target which requests run, wait or are refused. The caller must serialize all
// calls with one lock.
type Admission struct {
	queueBound    int
	levelValidity time.Duration
	limiter       *limiter
	gate          Gate
	queue         *queue
	running       map[uint64]string // route by ID of running request
	serviceTimes  serviceTimes
	shedder       *shedder
	lateDroppedAt time.Time // last time that late requests were dropped
	nextTickAt    time.Time // when Tick is due, zero if not scheduled
	stats         Stats
}

// NewAdmission returns an Admission with no running or waiting requests.
func NewAdmission(opts ...AdmissionOption) *Admission {
	a := &Admission{
		levelValidity: defaultLevelValidity,
		limiter:       newLimiter(defaultSlots),
		gate:          openGate{},
		queue:         newQueue(),
		running:       make(map[uint64]string),
		serviceTimes:  newServiceTimes(),
		shedder:       newShedder(),
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Apply applies options to an admission in use.
func (a *Admission) Apply(opts ...AdmissionOption) {
	for _, opt := range opts {
		opt(a)
	}
}

// Offer submits a request and returns the verdicts on it and on the waiting requests that it displaces. A
// request without a verdict waits.
func (a *Admission) Offer(now time.Time, r Request) []Verdict {
	if a.contains(r.ID) {
		return nil
	}
	a.shedder.requestArrived(r)
	a.gate.Offered(now)
	verdicts := a.advanceWindow(now, nil)
	if !a.serviceTimes.meetsDeadline(now, &r) {
		return a.refuse(verdicts, r.ID, refusal.DeadlineUnreachable)
	}
	if a.queue.len() == 0 && a.mayStart(now) {
		return a.admit(now, verdicts, r)
	}
	if lowest, bounded := a.lowestQueueablePriority(); bounded && r.Priority > lowest && !a.mayStart(now) && !a.finishes(&r) {
		return a.refuse(verdicts, r.ID, refusal.Overloaded)
	}
	a.queue.push(now, a.waitDeadline(now, &r), r)
	verdicts = a.admitWaiting(now, verdicts)
	return a.enforceQueueBound(now, verdicts)
}

// Done records the result of an admitted request and returns the verdicts on waiting requests that its free
// slot allows.
func (a *Admission) Done(now time.Time, id uint64, result Result) []Verdict {
	route, known := a.running[id]
	if !known {
		return nil
	}
	a.limiter.runEnded(now, result, len(a.running), a.queue.len() > 0 && a.gate.Open(now))
	a.gate.Ended(now, route, result)
	delete(a.running, id)
	a.shedder.runCompleted(route, result)
	if !result.Failed {
		a.serviceTimes.observe(now, route, result.Latency)
	}
	return a.admitWaiting(now, a.advanceWindow(now, nil))
}

// Cancel removes a waiting or running request whose caller has gone, and returns the verdicts on other
// requests that follow.
func (a *Admission) Cancel(now time.Time, id uint64) []Verdict {
	if w, waits := a.queue.byID[id]; waits {
		a.queue.remove(w)
	}
	delete(a.running, id)
	return a.admitWaiting(now, a.advanceWindow(now, nil))
}

// Tick refuses the waiting requests that can no longer meet their deadline or have exceeded their maximum
// wait.
func (a *Admission) Tick(now time.Time) []Verdict {
	a.nextTickAt = time.Time{}
	return a.admitWaiting(now, a.dropTimedOut(now, a.dropLate(now, a.advanceWindow(now, nil))))
}

// NextTick returns when Tick is due, or the zero time if no request waits. Repeated calls return the same
// time until Tick runs or the queue empties.
func (a *Admission) NextTick(now time.Time) time.Time {
	switch {
	case a.queue.len() == 0:
		a.nextTickAt = time.Time{}
	case a.nextTickAt.IsZero():
		a.nextTickAt = now.Add(tickInterval)
	}
	return a.nextTickAt
}

// Announce sets the number of slots that the backend server announces, from which the concurrency limit
// starts.
func (a *Admission) Announce(_ time.Time, slots int) {
	a.limiter.announce(slots)
}

// Level returns the level by which upstream daemons shed requests before sending them, or the zero Level if
// nothing is shed.
func (a *Admission) Level(now time.Time) Level {
	level, shedding := a.shedder.level()
	if !shedding {
		return Level{}
	}
	level.ValidUntil = now.Add(a.levelValidity)
	return level
}

// Stats returns a snapshot of the current limit, queue and counters.
func (a *Admission) Stats(_ time.Time) Stats {
	stats := a.stats
	stats.Limit = a.limiter.current()
	stats.Running = len(a.running)
	stats.Waiting = a.queue.len()
	return stats
}

// ServiceTime returns the expected duration of a run of route, or 0 if no run has been observed.
func (a *Admission) ServiceTime(now time.Time, route string) time.Duration {
	return a.serviceTimes.expected(now, route)
}

func (a *Admission) contains(id uint64) bool {
	_, runs := a.running[id]
	_, waits := a.queue.byID[id]
	return runs || waits
}

// mayStart reports whether a slot is free and the gate is open.
func (a *Admission) mayStart(now time.Time) bool {
	return len(a.running) < a.limiter.current() && a.gate.Open(now)
}

// admitWaiting admits waiting requests into free slots and refuses those that can no longer meet their
// deadline.
func (a *Admission) admitWaiting(now time.Time, verdicts []Verdict) []Verdict {
	for a.mayStart(now) {
		w := a.queue.next(a.newestFirst(now))
		if w == nil {
			return verdicts
		}
		if !a.serviceTimes.meetsDeadline(now, &w.request) {
			a.queue.remove(w)
			verdicts = a.refuse(verdicts, w.request.ID, refusal.DeadlineUnreachable)
			continue
		}
		a.queue.dispatch(w)
		verdicts = a.admit(now, verdicts, w.request)
	}
	return verdicts
}

// enforceQueueBound shrinks the queue to its maximum length. It drops late requests first, then the least
// important ones.
func (a *Admission) enforceQueueBound(now time.Time, verdicts []Verdict) []Verdict {
	if a.queue.len() <= a.maxQueueLength() {
		return verdicts
	}
	if now.Sub(a.lateDroppedAt) >= tickInterval {
		verdicts = a.dropLate(now, verdicts)
	}
	for a.queue.len() > a.maxQueueLength() {
		w := a.queue.victim()
		a.queue.remove(w)
		a.shedder.requestDropped()
		verdicts = a.refuse(verdicts, w.request.ID, refusal.Overloaded)
	}
	return verdicts
}

func (a *Admission) dropLate(now time.Time, verdicts []Verdict) []Verdict {
	a.lateDroppedAt = now
	for _, w := range a.queue.late(now, &a.serviceTimes) {
		a.queue.remove(w)
		a.shedder.requestDropped()
		verdicts = a.refuse(verdicts, w.request.ID, refusal.DeadlineUnreachable)
	}
	return verdicts
}

// dropTimedOut refuses requests that have exceeded their maximum wait, so that nested ones free the slots
// they hold at other targets.
func (a *Admission) dropTimedOut(now time.Time, verdicts []Verdict) []Verdict {
	for _, w := range a.queue.timedOut(now) {
		a.queue.remove(w)
		a.shedder.requestDropped()
		verdicts = a.refuse(verdicts, w.request.ID, refusal.Overloaded)
	}
	return verdicts
}

// waitDeadline returns the time until which r may wait, or the zero time if only its deadline limits the
// wait. A nested request waits for at most a few service times and a fraction of its slack before the
// deadline. Another request with a latency objective waits for at most a fraction of that objective.
func (a *Admission) waitDeadline(now time.Time, r *Request) time.Time {
	if !r.Nested && r.Objective > 0 {
		return now.Add(max(r.Objective/objectiveWaitDivisor, minQueueWait))
	}
	if !r.Nested {
		return time.Time{}
	}
	service := a.serviceTimes.expected(now, r.Route)
	bound := nestedWaitServiceTimes * service
	if a.queue.begunFirst {
		bound = begunWaitServiceTimes * service
	}
	if !r.Deadline.IsZero() {
		bound = min(bound, (r.Deadline.Sub(now)-service)/nestedWaitSlackDivisor)
	}
	return now.Add(max(bound, minQueueWait))
}

// advanceWindow closes the shedder's window if it has ended, and refuses waiting requests of the priorities
// that the new level sheds entirely.
func (a *Admission) advanceWindow(now time.Time, verdicts []Verdict) []Verdict {
	if !a.shedder.advance(now, load{a.queue.len(), a.shedderLimit(), a.mayStart(now), a.gate.Rate(now)}) {
		return verdicts
	}
	lowest, bounded := a.lowestQueueablePriority()
	if !bounded {
		return verdicts
	}
	for _, w := range a.queue.lessImportantThan(lowest) {
		if a.finishes(&w.request) {
			continue
		}
		a.queue.remove(w)
		verdicts = a.refuse(verdicts, w.request.ID, refusal.Overloaded)
	}
	return verdicts
}

// finishes reports whether r belongs to what has begun and is finished first. Its entry has let it begin, so a level that
// has become stricter since doesn't refuse it: it waits behind what is more important.
func (a *Admission) finishes(r *Request) bool {
	return a.queue.begunFirst && r.Nested
}

// shedderLimit returns the limit by which the shedder works out the capacity. A level for call trees outlasts a trial of
// another limit, so it ignores trials, and counts on no more than the announced slots unless more requests run.
func (a *Admission) shedderLimit() int {
	if a.shedder.slotTimes != nil {
		return max(len(a.running), min(a.limiter.steady(), a.limiter.slots))
	}
	return a.limiter.current()
}

// lowestQueueablePriority returns the least important priority that may wait, and whether there is such a
// bound. If upstream daemons shed part of a priority, there is no capacity for less important ones.
func (a *Admission) lowestQueueablePriority() (priority int, bounded bool) {
	level, shedding := a.shedder.level()
	return level.Priority, shedding && level.shedsPartially()
}

func (a *Admission) newestFirst(now time.Time) bool {
	return now.Sub(a.queue.nonEmptySince) > newestFirstAfter
}

func (a *Admission) maxQueueLength() int {
	if a.queueBound > 0 {
		return a.queueBound
	}
	return min(max(queueLimitFactor*a.limiter.current(), minQueueBound), maxQueueBound)
}

func (a *Admission) admit(now time.Time, verdicts []Verdict, r Request) []Verdict {
	a.running[r.ID] = r.Route
	a.gate.Started(now)
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

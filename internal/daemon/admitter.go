package daemon

import (
	"context"
	"sync"
	"time"

	"sapphirespread.example/priority"
	"sapphirespread.example/refusal"
)

// minRefusalMargin is the least time before its deadline at which a queued call is refused, so that its sender learns in
// time that the call has not run.
const minRefusalMargin = 10 * time.Millisecond

// An admitter queues calls to the backend server until its admission control admits or refuses them.
type admitter struct {
	mu        sync.Mutex
	admission admission
	waiting   map[uint64]chan priority.Verdict
	timer     *time.Timer
	closed    bool
}

func newAdmitter(admission admission) *admitter {
	a := &admitter{admission: admission, waiting: make(map[uint64]chan priority.Verdict)}
	a.timer = time.AfterFunc(time.Hour, a.tick)
	return a
}

// admit waits until c is admitted or refused. It returns nil if c is admitted; the caller must then call finish.
func (a *admitter) admit(ctx context.Context, c *call) *attemptError {
	verdict := make(chan priority.Verdict, 1)
	a.offer(c, verdict)
	deadlineTimer := time.NewTimer(c.remaining(time.Now()) - c.refusalMargin())
	defer deadlineTimer.Stop()
	select {
	case v := <-verdict:
		return refusalOf(v)
	case <-deadlineTimer.C:
	case <-ctx.Done():
	}
	if a.cancel(c.admissionID, verdict) {
		a.finish(c.admissionID, priority.Result{Failed: true, Cause: priority.CauseAborted})
	}
	if c.remaining(time.Now()) > c.refusalMargin() {
		return refuse(refusal.Cancelled, "the caller left before the request ran")
	}
	return refuse(refusal.DeadlineUnreachable, "the deadline passed in the queue")
}

// refusalMargin returns the time before its deadline at which c is refused if it still waits.
func (c *call) refusalMargin() time.Duration {
	return max(c.returnMargin, minRefusalMargin)
}

// refusalOf returns the refusal for a verdict, or nil if the call is admitted.
func refusalOf(verdict priority.Verdict) *attemptError {
	if verdict.Admitted {
		return nil
	}
	return refuse(verdict.Kind, "refused by the target's admission")
}

// offer passes c to the admission control, which sends its decision to verdict.
func (a *admitter) offer(c *call, verdict chan priority.Verdict) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting[c.admissionID] = verdict
	a.deliver(now, a.admission.Offer(now, priority.Request{
		ID:        c.admissionID,
		RootHash:  c.rootHash(),
		Priority:  c.priority,
		Workspace: c.rootWorkspace,
		Route:     c.route,
		Share:     c.share,
		Deadline:  c.deadline.Add(-c.returnMargin),
		Shed:      c.shedShare,
		Nested:    c.nested,
		Objective: c.objective,
	}))
}

// cancel removes a waiting call and reports whether the call has been admitted in the meantime.
func (a *admitter) cancel(id uint64, verdict chan priority.Verdict) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case v := <-verdict:
		return v.Admitted
	default:
	}
	delete(a.waiting, id)
	a.deliver(now, a.admission.Cancel(now, id))
	return false
}

// finish frees the slot of an admitted call and records its result.
func (a *admitter) finish(id uint64, result priority.Result) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(now, a.admission.Done(now, id, result))
}

// announce sets the number of slots that the backend server announced.
func (a *admitter) announce(slots int) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.Announce(now, slots)
	a.deliver(now, a.admission.Tick(now))
}

// locked calls f while no other call changes the admission.
func (a *admitter) locked(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
}

func (a *admitter) level(now time.Time) priority.Level {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admission.Level(now)
}

func (a *admitter) stats(now time.Time) priority.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admission.Stats(now)
}

func (a *admitter) tick() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.deliver(now, a.admission.Tick(now))
}

func (a *admitter) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.timer.Stop()
}

// deliver sends verdicts to the waiting calls and schedules the next tick. The caller must hold a.mu.
func (a *admitter) deliver(now time.Time, verdicts []priority.Verdict) {
	for _, verdict := range verdicts {
		waiter, known := a.waiting[verdict.ID]
		if !known {
			continue
		}
		delete(a.waiting, verdict.ID)
		waiter <- verdict
	}
	next := a.admission.NextTick(now)
	if !next.IsZero() && !a.closed {
		a.timer.Reset(next.Sub(now))
	}
}

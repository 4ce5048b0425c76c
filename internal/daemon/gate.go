package daemon

import (
	"context"
	"sync"
	"time"

	"sapphirespread.example/priority"
	"sapphirespread.example/refusal"
)

const (
	subcallWaits   = 2
	minSubcallWait = 10 * time.Millisecond
)

// A gate lets calls through to the backend server as its admission decides.
type gate struct {
	mu        sync.Mutex
	admission *priority.Admission
	waiting   map[uint64]chan priority.Verdict
	timer     *time.Timer
	closed    bool
}

func newGate(admission *priority.Admission) *gate {
	g := &gate{admission: admission, waiting: make(map[uint64]chan priority.Verdict)}
	g.timer = time.AfterFunc(time.Hour, g.tick)
	return g
}

// enter waits until c is admitted or refused; an admitted call is ended with leave.
func (g *gate) enter(ctx context.Context, c *call) *attemptError {
	verdict := make(chan priority.Verdict, 1)
	waiting, cancel := context.WithTimeout(ctx, g.offer(c, verdict))
	defer cancel()
	select {
	case v := <-verdict:
		return refusalOf(v)
	case <-waiting.Done():
	}
	if g.cancel(c.admissionID, verdict) {
		g.leave(c.admissionID, priority.Result{Failed: true})
	}
	if ctx.Err() == nil {
		return refuse(refusal.Overloaded, "a sub-call waited too long in the queue")
	}
	if time.Now().Before(c.deadline) {
		return refuse(refusal.Cancelled, "the caller left before the request ran")
	}
	return refuse(refusal.DeadlineUnreachable, "the deadline passed in the queue")
}

func refusalOf(verdict priority.Verdict) *attemptError {
	if verdict.Admitted {
		return nil
	}
	return refuse(verdict.Kind, "refused by the target's admission")
}

// offer puts c to the admission and returns how long it may wait.
func (g *gate) offer(c *call, verdict chan priority.Verdict) time.Duration {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting[c.admissionID] = verdict
	g.deliver(now, g.admission.Offer(now, priority.Request{
		ID:        c.admissionID,
		WholeHash: c.wholeHash(),
		Priority:  c.priority,
		Workspace: c.workspace,
		Share:     c.share,
		Deadline:  c.deadline,
	}))
	return g.waitBound(now, c)
}

// waitBound bounds the wait of a sub-call by a few service times, as it holds slots of the targets above.
func (g *gate) waitBound(now time.Time, c *call) time.Duration {
	remaining := c.remaining(now)
	if c.depth == 0 {
		return remaining
	}
	serviceTime := g.admission.ServiceTime(now, "")
	return min(remaining, max(subcallWaits*serviceTime, minSubcallWait))
}

// cancel withdraws a waiting call and reports whether it had been admitted meanwhile.
func (g *gate) cancel(id uint64, verdict chan priority.Verdict) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case v := <-verdict:
		return v.Admitted
	default:
	}
	delete(g.waiting, id)
	g.deliver(now, g.admission.Cancel(now, id))
	return false
}

// leave ends an admitted call.
func (g *gate) leave(id uint64, result priority.Result) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(now, g.admission.Done(now, id, result))
}

// announce passes on what the backend server says of its slots.
func (g *gate) announce(slots int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Announce(now, slots)
	g.deliver(now, g.admission.Tick(now))
}

func (g *gate) level(now time.Time) priority.Level {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Level(now)
}

func (g *gate) stats(now time.Time) priority.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Stats(now)
}

func (g *gate) tick() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.deliver(now, g.admission.Tick(now))
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.timer.Stop()
}

// deliver hands verdicts to the waiting calls and sets the timer for the next tick; g.mu is held.
func (g *gate) deliver(now time.Time, verdicts []priority.Verdict) {
	for _, verdict := range verdicts {
		waiter, known := g.waiting[verdict.ID]
		if !known {
			continue
		}
		delete(g.waiting, verdict.ID)
		waiter <- verdict
	}
	next := g.admission.NextTick(now)
	if !next.IsZero() && !g.closed {
		g.timer.Reset(next.Sub(now))
	}
}

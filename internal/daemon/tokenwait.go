package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/limit"
	"sapphirespread.example/refusal"
)

const (
	maxTokenWait  = 3 * time.Second
	tokensACall   = 1
	deadlineParts = 2
	// objectiveParts is the part of a latency objective that a call may wait for a token: what waits longer is better
	// told to come back.
	objectiveParts = 8
	// minTokenWait bears a few round trips to the leader.
	minTokenWait = 30 * time.Millisecond
)

// A tokenWait spends the rate of workspaces, and makes calls wait in a queue a workspace for grants.
type tokenWait struct {
	holder holder
	kick   func()
	mu     sync.Mutex
	queues map[string]*limit.Queue[*tokenWaiter]
	spends atomic.Uint64
}

// A tokenWaiter is one call that waits for a token until its bound.
type tokenWaiter struct {
	granted chan bool
	until   time.Time
	rank    int // as of its priority
}

func newTokenWait(holder holder, kick func()) *tokenWait {
	return &tokenWait{holder: holder, kick: kick, queues: make(map[string]*limit.Queue[*tokenWaiter])}
}

// spend takes one token of workspace, waiting for a grant within the deadline of ctx. Of those that wait, the most important
// get the tokens first.
func (t *tokenWait) spend(ctx context.Context, workspace string, rank int, objective time.Duration) *attemptError {
	now := boottime.Now()
	t.spends.Add(1)
	if t.queueLength(workspace) == 0 && t.holder.Spend(now, workspace, tokensACall) {
		return nil
	}
	bound := waitBound(ctx, objective)
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	waiter := &tokenWaiter{granted: make(chan bool, 1), until: now.Add(bound), rank: rank}
	t.join(now, workspace, waiter)
	t.kick()
	select {
	case granted := <-waiter.granted:
		if granted {
			return nil
		}
		return t.refuse(workspace, "")
	case <-ctx.Done():
	}
	// An owner that fell silent during the wait leaves the workspace to what it may spend meanwhile.
	if t.abandon(workspace, waiter) || t.holder.Spend(boottime.Now(), workspace, tokensACall) {
		return nil
	}
	return t.refuse(workspace, "no token within the wait")
}

func waitBound(ctx context.Context, objective time.Duration) time.Duration {
	bound := maxTokenWait
	if objective > 0 {
		bound = max(objective/objectiveParts, minTokenWait)
	}
	if deadline, bounded := ctx.Deadline(); bounded {
		bound = min(bound, time.Until(deadline)/deadlineParts)
	}
	return bound
}

func (t *tokenWait) refuse(workspace, detail string) *attemptError {
	return refuseAfter(refusal.RateExceeded, detail, t.holder.RetryAfter(workspace))
}

func (t *tokenWait) queueLength(workspace string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[workspace]
	if queue == nil {
		return 0
	}
	return queue.Len()
}

// join queues waiter; where the queue is full, the call that has waited longest is refused.
func (t *tokenWait) join(now time.Time, workspace string, waiter *tokenWaiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[workspace]
	if queue == nil {
		queue = limit.NewQueue(limit.DefaultMaximumWaiting, limit.WithRank(func(w *tokenWaiter) int { return w.rank }))
		t.queues[workspace] = queue
	}
	t.holder.Wait(now, workspace)
	if displaced, full := queue.Push(now, waiter); full {
		t.holder.Unwait(workspace)
		displaced.granted <- false
	}
}

// abandon leaves the queue and reports whether the token had come meanwhile.
func (t *tokenWait) abandon(workspace string, waiter *tokenWaiter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case granted := <-waiter.granted:
		return granted
	default:
	}
	if queue := t.queues[workspace]; queue != nil && queue.Remove(waiter) {
		t.left(workspace, queue)
	}
	return false
}

// left notes that one call no longer waits; t.mu is held.
func (t *tokenWait) left(workspace string, queue *limit.Queue[*tokenWaiter]) {
	t.holder.Unwait(workspace)
	if queue.Len() == 0 {
		delete(t.queues, workspace)
	}
}

// serve gives tokens that have come to the calls that wait.
func (t *tokenWait) serve(now time.Time, workspace string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[workspace]
	for queue != nil && queue.Len() > 0 && t.holder.Spend(now, workspace, tokensACall) {
		waiter, _ := queue.Pop(now)
		waiter.granted <- true
		t.left(workspace, queue)
	}
}

// refuseBefore refuses the calls whose wait ends before a token can come.
func (t *tokenWait) refuseBefore(token time.Time, workspace string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[workspace]
	if queue == nil {
		return
	}
	refused := queue.RemoveFunc(func(waiter *tokenWaiter) bool { return waiter.until.Before(token) })
	for _, waiter := range refused {
		waiter.granted <- false
		t.left(workspace, queue)
	}
}

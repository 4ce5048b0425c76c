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
	maxTokenWait    = 3 * time.Second
	tokensPerCall   = 1
	deadlineDivisor = 2
	// objectiveParts is the part of a latency objective that a call may wait for a token: what waits longer is better
	// told to come back.
	objectiveDivisor = 8
	// minTokenWait bears a few round trips to the leader.
	minTokenWait = 30 * time.Millisecond
)

// A tokenWait spends the rate of workspaces, and makes calls wait in a queue a workspace for grants.
type rateLimiter struct {
	holder        holder
	requestGrants func()
	mu            sync.Mutex
	queues        map[string]*limit.Queue[*tokenWaiter]
	spendCount    atomic.Uint64
}

// A tokenWaiter is one call that waits for a token until its bound.
type tokenWaiter struct {
	granted  chan bool
	deadline time.Time
	rank     int // as of its priority
}

func newRateLimiter(holder holder, requestGrants func()) *rateLimiter {
	return &rateLimiter{holder: holder, requestGrants: requestGrants, queues: make(map[string]*limit.Queue[*tokenWaiter])}
}

// spend takes one token of workspace, waiting for a grant within the deadline of ctx. Of those that wait, the most important
// get the tokens first.
func (r *rateLimiter) spend(ctx context.Context, workspace string, rank int, objective time.Duration) *attemptError {
	now := boottime.Now()
	r.spendCount.Add(1)
	if r.queueLength(workspace) == 0 && r.holder.Spend(now, workspace, tokensPerCall) {
		return nil
	}
	wait := maxWait(ctx, objective)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	waiter := &tokenWaiter{granted: make(chan bool, 1), deadline: now.Add(wait), rank: rank}
	r.enqueue(now, workspace, waiter)
	r.requestGrants()
	select {
	case granted := <-waiter.granted:
		if granted {
			return nil
		}
		return r.refuse(workspace, "")
	case <-ctx.Done():
	}
	// An owner that fell silent during the wait leaves the workspace to what it may spend meanwhile.
	if r.abandon(workspace, waiter) || r.holder.Spend(boottime.Now(), workspace, tokensPerCall) {
		return nil
	}
	return r.refuse(workspace, "no token within the wait")
}

func maxWait(ctx context.Context, objective time.Duration) time.Duration {
	wait := maxTokenWait
	if objective > 0 {
		wait = max(objective/objectiveDivisor, minTokenWait)
	}
	if deadline, bounded := ctx.Deadline(); bounded {
		wait = min(wait, time.Until(deadline)/deadlineDivisor)
	}
	return wait
}

func (r *rateLimiter) refuse(workspace, detail string) *attemptError {
	return refuseWithRetryAfter(refusal.RateExceeded, detail, r.holder.RetryAfter(workspace))
}

func (r *rateLimiter) queueLength(workspace string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.queues[workspace]
	if queue == nil {
		return 0
	}
	return queue.Len()
}

// join queues waiter; where the queue is full, the call that has waited longest is refused.
func (r *rateLimiter) enqueue(now time.Time, workspace string, waiter *tokenWaiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.queues[workspace]
	if queue == nil {
		queue = limit.NewQueue(limit.DefaultMaximumWaiting, limit.WithRank(func(w *tokenWaiter) int { return w.rank }))
		r.queues[workspace] = queue
	}
	r.holder.Wait(now, workspace)
	if displaced, full := queue.Push(now, waiter); full {
		r.holder.Unwait(workspace)
		displaced.granted <- false
	}
}

// abandon leaves the queue and reports whether the token had come meanwhile.
func (r *rateLimiter) abandon(workspace string, waiter *tokenWaiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case granted := <-waiter.granted:
		return granted
	default:
	}
	if queue := r.queues[workspace]; queue != nil && queue.Remove(waiter) {
		r.removed(workspace, queue)
	}
	return false
}

// left notes that one call no longer waits; t.mu is held.
func (r *rateLimiter) removed(workspace string, queue *limit.Queue[*tokenWaiter]) {
	r.holder.Unwait(workspace)
	if queue.Len() == 0 {
		delete(r.queues, workspace)
	}
}

// serve gives tokens that have come to the calls that wait.
func (r *rateLimiter) serveQueue(now time.Time, workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.queues[workspace]
	for queue != nil && queue.Len() > 0 && r.holder.Spend(now, workspace, tokensPerCall) {
		waiter, _ := queue.Pop(now)
		waiter.granted <- true
		r.removed(workspace, queue)
	}
}

// refuseBefore refuses the calls whose wait ends before a token can come.
func (r *rateLimiter) refuseExpiring(nextToken time.Time, workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.queues[workspace]
	if queue == nil {
		return
	}
	refused := queue.RemoveFunc(func(waiter *tokenWaiter) bool { return waiter.deadline.Before(nextToken) })
	for _, waiter := range refused {
		waiter.granted <- false
		r.removed(workspace, queue)
	}
}

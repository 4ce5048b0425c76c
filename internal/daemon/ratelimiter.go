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
	// objectiveDivisor sets the part of a latency objective that a call may wait for a token. After a longer wait, a
	// refusal with a retry time serves the caller better.
	objectiveDivisor = 8
	// minTokenWait allows for a few round trips to the leader.
	minTokenWait = 30 * time.Millisecond
)

// A rateLimiter enforces the rate limits of workspaces. Calls without a token wait for a grant in one queue per
// workspace.
type rateLimiter struct {
	holder        holder
	requestGrants func()
	mu            sync.Mutex
	queues        map[string]*limit.Queue[*tokenWaiter]
	spendCount    atomic.Uint64
}

// A tokenWaiter is a call that waits for a token until its deadline.
type tokenWaiter struct {
	granted  chan bool
	deadline time.Time
	rank     int // from the priority of the call
}

func newRateLimiter(holder holder, requestGrants func()) *rateLimiter {
	return &rateLimiter{holder: holder, requestGrants: requestGrants, queues: make(map[string]*limit.Queue[*tokenWaiter])}
}

// spend takes one token of workspace. If there is none, it waits for a grant within the deadline of ctx. The most
// important of the waiting calls get tokens first.
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
	// If the owner stopped responding during the wait, the holder may allow fallback spending by now.
	if r.abandon(workspace, waiter) || r.holder.Spend(boottime.Now(), workspace, tokensPerCall) {
		return nil
	}
	return r.refuse(workspace, "no token within the wait")
}

// maxWait returns the maximum time that a call waits for a token.
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

// enqueue adds waiter to the queue. If the queue is full, the oldest of the least important calls is refused.
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

// abandon removes waiter from the queue and reports whether it has got a token in the meantime.
func (r *rateLimiter) abandon(workspace string, waiter *tokenWaiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case granted := <-waiter.granted:
		return granted
	default:
	}
	if queue := r.queues[workspace]; queue != nil && queue.Remove(waiter) {
		r.recordRemoval(workspace, queue)
	}
	return false
}

// recordRemoval records that one call has left the queue. The caller must hold r.mu.
func (r *rateLimiter) recordRemoval(workspace string, queue *limit.Queue[*tokenWaiter]) {
	r.holder.Unwait(workspace)
	if queue.Len() == 0 {
		delete(r.queues, workspace)
	}
}

// serveQueue spends newly granted tokens on the waiting calls.
func (r *rateLimiter) serveQueue(now time.Time, workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.queues[workspace]
	for queue != nil && queue.Len() > 0 && r.holder.Spend(now, workspace, tokensPerCall) {
		waiter, _ := queue.Pop(now)
		waiter.granted <- true
		r.recordRemoval(workspace, queue)
	}
}

// refuseExpiring refuses the calls whose wait ends before nextToken, the time at which the next token is available.
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
		r.recordRemoval(workspace, queue)
	}
}

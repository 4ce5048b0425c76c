package daemon

import (
	"container/list"
	"context"
	"sync"
	"time"

	"sapphirespread.example/limit"
	"sapphirespread.example/refusal"
)

const (
	maxTokenWait      = 3 * time.Second
	maxWaitersAHolder = 1024
	tokensACall       = 1
	deadlineParts     = 2
)

// A tokenWait spends the rate of workspaces, and makes calls wait in order for grants.
type tokenWait struct {
	holder *limit.Holder
	kick   func()
	mu     sync.Mutex
	queues map[string]*list.List
}

func newTokenWait(holder *limit.Holder, kick func()) *tokenWait {
	return &tokenWait{holder: holder, kick: kick, queues: make(map[string]*list.List)}
}

// spend takes one token of workspace, waiting for a grant within the deadline of ctx.
func (t *tokenWait) spend(ctx context.Context, workspace string) *attemptError {
	if t.queueLength(workspace) == 0 && t.holder.Spend(time.Now(), workspace, tokensACall) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, waitBound(ctx))
	defer cancel()
	waiter, entered := t.join(workspace)
	if !entered {
		return t.refuse(workspace, "too many requests wait for the workspace's rate")
	}
	t.kick()
	select {
	case granted := <-waiter:
		if granted {
			return nil
		}
		return t.refuse(workspace, "")
	case <-ctx.Done():
	}
	if t.abandon(workspace, waiter) {
		return nil
	}
	return t.refuse(workspace, "no token within the wait")
}

func waitBound(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return maxTokenWait
	}
	return min(time.Until(deadline)/deadlineParts, maxTokenWait)
}

func (t *tokenWait) refuse(workspace, detail string) *attemptError {
	return refuseAfter(refusal.RateExceeded, detail, t.holder.Hint(workspace))
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

func (t *tokenWait) join(workspace string) (chan bool, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[workspace]
	if queue == nil {
		queue = list.New()
		t.queues[workspace] = queue
	}
	if queue.Len() >= maxWaitersAHolder {
		return nil, false
	}
	waiter := make(chan bool, 1)
	queue.PushBack(waiter)
	t.holder.Wait(time.Now(), workspace)
	return waiter, true
}

// abandon leaves the queue and reports whether the token had come meanwhile.
func (t *tokenWait) abandon(workspace string, waiter chan bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case granted := <-waiter:
		return granted
	default:
	}
	queue := t.queues[workspace]
	for element := queue.Front(); element != nil; element = element.Next() {
		if element.Value == waiter {
			t.remove(workspace, queue, element)
			break
		}
	}
	return false
}

func (t *tokenWait) remove(workspace string, queue *list.List, element *list.Element) {
	queue.Remove(element)
	t.holder.Unwait(workspace)
	if queue.Len() == 0 {
		delete(t.queues, workspace)
	}
}

// serve gives tokens that have come to the calls that wait, oldest first.
func (t *tokenWait) serve(now time.Time, workspace string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[workspace]
	for queue != nil && queue.Len() > 0 && t.holder.Spend(now, workspace, tokensACall) {
		t.wake(workspace, queue, true)
	}
}

// refuseAll refuses the calls that wait, as the owner of the rate has no token for them in time.
func (t *tokenWait) refuseAll(workspace string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[workspace]
	for queue != nil && queue.Len() > 0 {
		t.wake(workspace, queue, false)
	}
}

func (t *tokenWait) wake(workspace string, queue *list.List, granted bool) {
	front := queue.Front()
	if waiter, ok := front.Value.(chan bool); ok {
		waiter <- granted
	}
	t.remove(workspace, queue, front)
}

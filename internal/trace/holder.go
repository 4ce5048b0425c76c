package trace

import (
	"math"
	"sync"
	"time"

	"sapphirespread.example/limit"
)

// A Holder records the calls of a limit.Holder, one after the other.
type Holder struct {
	*limit.Holder
	start  time.Time
	mu     sync.Mutex
	stream *Stream[HolderStep]
}

// ReplayHolder repeats steps at a new holder and returns them with what came of them.
func ReplayHolder(start time.Time, steps []HolderStep) []HolderStep {
	h := &Holder{Holder: limit.NewHolder(), start: start, stream: newStream[HolderStep](math.MaxInt)}
	for _, step := range steps {
		step.take(h)
	}
	return h.stream.Steps()
}

// Spend records a spend.
func (h *Holder) Spend(now time.Time, workspace string, tokens int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.Holder.Spend(now, workspace, tokens)
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: Spend, Workspace: workspace, Tokens: tokens, Taken: taken})
	return taken
}

// Wait records that a request waits.
func (h *Holder) Wait(now time.Time, workspace string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Holder.Wait(now, workspace)
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: Wait, Workspace: workspace})
}

// Unwait records that a request no longer waits.
func (h *Holder) Unwait(workspace string) {
	h.unwait(time.Now(), workspace)
}

func (h *Holder) unwait(now time.Time, workspace string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Holder.Unwait(workspace)
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: Unwait, Workspace: workspace})
}

// GrantRequests records the grant requests to the owner.
func (h *Holder) GrantRequests(now time.Time) []limit.GrantRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	asks := h.Holder.GrantRequests(now)
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: Asks, Asks: asks})
	return asks
}

// Accept records a grant.
func (h *Holder) Accept(now time.Time, g limit.Grant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.Holder.Accept(now, g)
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: Accept, Grant: &g, Taken: taken})
	return taken
}

// CollectReturns records the grants returned to the owner.
func (h *Holder) CollectReturns(now time.Time) []limit.Return {
	h.mu.Lock()
	defer h.mu.Unlock()
	returns := h.Holder.CollectReturns(now)
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: Idle, Returns: returns})
	return returns
}

// ReturnAll records the return of all grants.
func (h *Holder) ReturnAll() []limit.Return {
	return h.drop(time.Now())
}

func (h *Holder) drop(now time.Time) []limit.Return {
	h.mu.Lock()
	defer h.mu.Unlock()
	returns := h.Holder.ReturnAll()
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: Drop, Returns: returns})
	return returns
}

// Disconnect records that the connection to the owner was lost.
func (h *Holder) Disconnect(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Holder.Disconnect(now)
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: Disconnect})
}

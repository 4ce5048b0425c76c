package trace

import (
	"math"
	"sync"
	"time"

	"sapphirespread.example/limit"
)

// A Holder serializes and records the calls to a limit.Holder.
type Holder struct {
	*limit.Holder
	start  time.Time
	mu     sync.Mutex
	stream *Stream[HolderStep]
}

// ReplayHolder replays steps against a new limit.Holder and returns them with the resulting outcomes.
func ReplayHolder(start time.Time, steps []HolderStep) []HolderStep {
	h := &Holder{Holder: limit.NewHolder(), start: start, stream: newStream[HolderStep](math.MaxInt)}
	for _, step := range steps {
		step.replay(h)
	}
	return h.stream.Steps()
}

// Spend spends tokens of the workspace, reports whether it did, and records the call.
func (h *Holder) Spend(now time.Time, workspace string, tokens int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	spent := h.Holder.Spend(now, workspace, tokens)
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: Spend, Workspace: workspace, Tokens: tokens, Taken: spent})
	return spent
}

// Wait registers a waiting request of the workspace and records the call.
func (h *Holder) Wait(now time.Time, workspace string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Holder.Wait(now, workspace)
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: Wait, Workspace: workspace})
}

// Unwait unregisters a waiting request of the workspace and records the call.
func (h *Holder) Unwait(workspace string) {
	h.unwaitAt(time.Now(), workspace)
}

func (h *Holder) unwaitAt(now time.Time, workspace string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Holder.Unwait(workspace)
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: Unwait, Workspace: workspace})
}

// GrantRequests returns the grant requests to send to the owner and records the call.
func (h *Holder) GrantRequests(now time.Time) []limit.GrantRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	requests := h.Holder.GrantRequests(now)
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: RequestGrants, GrantRequests: requests})
	return requests
}

// Accept adds a grant, reports whether it added tokens, and records the call.
func (h *Holder) Accept(now time.Time, grant limit.Grant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	added := h.Holder.Accept(now, grant)
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: Accept, Grant: &grant, Taken: added})
	return added
}

// CollectReturns ends and returns the grants to return to the owner and records the call.
func (h *Holder) CollectReturns(now time.Time) []limit.Return {
	h.mu.Lock()
	defer h.mu.Unlock()
	returns := h.Holder.CollectReturns(now)
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: CollectReturns, Returns: returns})
	return returns
}

// ReturnAll ends and returns all grants and records the call.
func (h *Holder) ReturnAll() []limit.Return {
	return h.returnAllAt(time.Now())
}

func (h *Holder) returnAllAt(now time.Time) []limit.Return {
	h.mu.Lock()
	defer h.mu.Unlock()
	returns := h.Holder.ReturnAll()
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: ReturnAll, Returns: returns})
	return returns
}

// Disconnect reports the loss of the connection to the owner and records the call.
func (h *Holder) Disconnect(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Holder.Disconnect(now)
	h.stream.add(HolderStep{At: now.Sub(h.start), Call: Disconnect})
}

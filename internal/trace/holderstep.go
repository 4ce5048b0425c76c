package trace

import (
	"fmt"
	"time"

	"sapphirespread.example/limit"
)

// A HolderCall names a recorded method of limit.Holder.
type HolderCall string

// The recorded methods of limit.Holder. EmptyPolls stands for one or more pairs of CollectReturns and RequestGrants
// that returned nothing.
const (
	Spend          HolderCall = "spend"
	Wait           HolderCall = "wait"
	Unwait         HolderCall = "unwait"
	RequestGrants  HolderCall = "asks"
	Accept         HolderCall = "accept"
	CollectReturns HolderCall = "idle"
	ReturnAll      HolderCall = "drop"
	Disconnect     HolderCall = "disconnect"
	EmptyPolls     HolderCall = "quiet"
)

// A HolderStep is one recorded call to a limit.Holder: its arguments and its outcome.
type HolderStep struct {
	At        time.Duration `json:"at"`
	Call      HolderCall    `json:"call"`
	Workspace string        `json:"workspace,omitempty"`
	Tokens    int64         `json:"tokens,omitempty"`
	Grant     *limit.Grant  `json:"grant,omitempty"`
	// Intervals holds the time of each empty poll since the previous one.
	Intervals     []time.Duration      `json:"after,omitempty"`
	Taken         bool                 `json:"-"` // Spend took the tokens, or Accept added some
	GrantRequests []limit.GrantRequest `json:"-"`
	Returns       []limit.Return       `json:"-"`
}

// Time returns the time of the call since the start of the recording.
func (s HolderStep) Time() time.Duration { return s.At }

// Outcome returns one line for each spend, accepted grant, grant request and return.
func (s HolderStep) Outcome() []string {
	var lines []string
	switch s.Call {
	case Spend:
		lines = append(lines, fmt.Sprintf("%s spend %d: %t", s.Workspace, s.Tokens, s.Taken))
	case Accept:
		lines = append(lines, fmt.Sprintf("%s accept %d: %t", s.Grant.Workspace, s.Grant.ID, s.Taken))
	}
	for _, request := range s.GrantRequests {
		lines = append(lines, fmt.Sprintf("%s ask %d: %d tokens, %d waiting", request.Workspace, request.ID, request.Tokens, request.Waiting))
	}
	for _, returned := range s.Returns {
		lines = append(lines, fmt.Sprintf("%s return %d: %d tokens", returned.Workspace, returned.GrantID, returned.Tokens))
	}
	return lines
}

// replay repeats the call on h.
func (s HolderStep) replay(h *Holder) {
	now := h.start.Add(s.At)
	switch s.Call {
	case Spend:
		h.Spend(now, s.Workspace, s.Tokens)
	case Wait:
		h.Wait(now, s.Workspace)
	case Unwait:
		h.unwaitAt(now, s.Workspace)
	case RequestGrants:
		h.GrantRequests(now)
	case Accept:
		h.Accept(now, *s.Grant)
	case CollectReturns:
		h.CollectReturns(now)
	case ReturnAll:
		h.returnAllAt(now)
	case Disconnect:
		h.Disconnect(now)
	case EmptyPolls:
		s.replayPolls(h, now)
	}
}

// replayPolls repeats the empty polls on h.
func (s HolderStep) replayPolls(h *Holder, now time.Time) {
	for _, interval := range s.Intervals {
		now = now.Add(interval)
		h.CollectReturns(now)
		h.GrantRequests(now)
	}
}

// MergeEmptyPolls merges consecutive pairs of CollectReturns and RequestGrants that returned nothing into EmptyPolls
// steps.
func MergeEmptyPolls(steps []HolderStep) []HolderStep {
	var merged []HolderStep
	var previous time.Duration
	for i := 0; i < len(steps); i++ {
		if i+1 == len(steps) || !isEmptyPoll(steps[i], steps[i+1]) {
			merged = append(merged, steps[i])
			continue
		}
		at := steps[i].At
		if len(merged) == 0 || merged[len(merged)-1].Call != EmptyPolls {
			merged = append(merged, HolderStep{At: at, Call: EmptyPolls})
			previous = at
		}
		merged[len(merged)-1].Intervals = append(merged[len(merged)-1].Intervals, at-previous)
		previous = at
		i++
	}
	return merged
}

// isEmptyPoll reports whether first and second are a CollectReturns and a RequestGrants at the same time that both
// returned nothing.
func isEmptyPoll(first, second HolderStep) bool {
	return first.Call == CollectReturns && second.Call == RequestGrants && first.At == second.At && len(first.Returns)+len(second.GrantRequests) == 0
}

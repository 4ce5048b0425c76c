package trace

import (
	"fmt"
	"time"

	"sapphirespread.example/limit"
)

// A HolderCall is what a holder of tokens was asked.
type HolderCall string

// The calls of a holder; Quiet stands for several of Idle and Asks in turn from which nothing came.
const (
	Spend      HolderCall = "spend"
	Wait       HolderCall = "wait"
	Unwait     HolderCall = "unwait"
	Asks       HolderCall = "asks"
	Accept     HolderCall = "accept"
	Idle       HolderCall = "idle"
	Drop       HolderCall = "drop"
	Disconnect HolderCall = "disconnect"
	Quiet      HolderCall = "quiet"
)

// A HolderStep is one call of a holder with what came of it.
type HolderStep struct {
	At        time.Duration `json:"at"`
	Call      HolderCall    `json:"call"`
	Workspace string        `json:"workspace,omitempty"`
	Tokens    int64         `json:"tokens,omitempty"`
	Grant     *limit.Grant  `json:"grant,omitempty"`
	// After are the times of quiet calls, each from the one before.
	After   []time.Duration      `json:"after,omitempty"`
	Taken   bool                 `json:"-"` // tokens were spent, or came for waiting requests
	Asks    []limit.GrantRequest `json:"-"`
	Returns []limit.Return       `json:"-"`
}

// Time returns when the holder was called.
func (s HolderStep) Time() time.Duration { return s.At }

// Outcome returns the spends, asks and returns.
func (s HolderStep) Outcome() []string {
	var lines []string
	switch s.Call {
	case Spend:
		lines = append(lines, fmt.Sprintf("%s spend %d: %t", s.Workspace, s.Tokens, s.Taken))
	case Accept:
		lines = append(lines, fmt.Sprintf("%s accept %d: %t", s.Grant.Workspace, s.Grant.ID, s.Taken))
	}
	for _, ask := range s.Asks {
		lines = append(lines, fmt.Sprintf("%s ask %d: %d tokens, %d waiting", ask.Workspace, ask.ID, ask.Tokens, ask.Waiting))
	}
	for _, unspent := range s.Returns {
		lines = append(lines, fmt.Sprintf("%s return %d: %d tokens", unspent.Workspace, unspent.GrantID, unspent.Tokens))
	}
	return lines
}

// take repeats the call.
func (s HolderStep) take(h *Holder) {
	now := h.start.Add(s.At)
	switch s.Call {
	case Spend:
		h.Spend(now, s.Workspace, s.Tokens)
	case Wait:
		h.Wait(now, s.Workspace)
	case Unwait:
		h.unwait(now, s.Workspace)
	case Asks:
		h.GrantRequests(now)
	case Accept:
		h.Accept(now, *s.Grant)
	case Idle:
		h.CollectReturns(now)
	case Drop:
		h.drop(now)
	case Disconnect:
		h.Disconnect(now)
	case Quiet:
		s.poll(h, now)
	}
}

func (s HolderStep) poll(h *Holder, now time.Time) {
	for _, after := range s.After {
		now = now.Add(after)
		h.CollectReturns(now)
		h.GrantRequests(now)
	}
}

// Shorten puts calls of Idle and Asks from which nothing came together.
func Shorten(steps []HolderStep) []HolderStep {
	var short []HolderStep
	var last time.Duration
	for i := 0; i < len(steps); i++ {
		if i+1 == len(steps) || !quiet(steps[i], steps[i+1]) {
			short = append(short, steps[i])
			continue
		}
		at := steps[i].At
		if len(short) == 0 || short[len(short)-1].Call != Quiet {
			short = append(short, HolderStep{At: at, Call: Quiet})
			last = at
		}
		short[len(short)-1].After = append(short[len(short)-1].After, at-last)
		last = at
		i++
	}
	return short
}

// quiet reports whether first and second are an Idle and an Asks at one time from which nothing came.
func quiet(first, second HolderStep) bool {
	return first.Call == Idle && second.Call == Asks && first.At == second.At && len(first.Returns)+len(second.Asks) == 0
}

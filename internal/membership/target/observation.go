package target

import (
	"time"

	"sapphirespread.example/internal/backend/load"
	"sapphirespread.example/priority"
)

// An AnswerKind is how a call to a target ended, as observed by the caller.
type AnswerKind string

// The kinds of answers.
const (
	OK          AnswerKind = "ok"
	Errored     AnswerKind = "errored"     // complete answer with an error of the backend server
	Refused     AnswerKind = "refused"     // not run, refused by the target's admission control
	Failed      AnswerKind = "failed"      // ran or may have run, and failed
	Unreachable AnswerKind = "unreachable" // no connection to the target's daemon
)

// An Observation is what the daemon learns about a target from one call.
type Observation struct {
	Latency  time.Duration
	Kind     AnswerKind
	Level    priority.Level
	Draining bool
	// Pace is the pace that the target reported, see Target.Pace, or 0 if the answer doesn't tell.
	Pace int `json:",omitempty"`
	// Load is the load that the target reported, or the zero value.
	Load load.State
	// Objective is the latency objective of the call, or 0 if it has none.
	Objective time.Duration
	// Transit is the part of the latency that was not spent at the target, or 0 if unknown.
	Transit time.Duration
	// Incarnation is the incarnation that answered, or 0 if unknown.
	Incarnation uint64 `json:"-"`
}

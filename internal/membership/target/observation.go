package target

import (
	"time"

	"sapphirespread.example/priority"
)

// An AnswerKind is how a call to a target ended, as its sender saw it.
type AnswerKind string

// The kinds of answers.
const (
	OK          AnswerKind = "ok"
	Errored     AnswerKind = "errored"     // answered whole, with an error of the backend server
	Refused     AnswerKind = "refused"     // not run, by the target's admission
	Failed      AnswerKind = "failed"      // ran or may have run, and failed
	Unreachable AnswerKind = "unreachable" // no connection to the target's daemon
)

// An Observation is what one answer tells about its target.
type Observation struct {
	Latency  time.Duration
	Kind     AnswerKind
	Level    priority.Level
	Draining bool
	// Incarnation is the one that answered, zero where that is not known.
	Incarnation uint64 `json:"-"`
}

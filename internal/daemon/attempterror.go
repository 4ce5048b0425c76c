package daemon

import (
	"time"

	"sapphirespread.example/refusal"
)

// An attemptError is the reason why an attempt got no answer, or why a request is refused.
type attemptError struct {
	kind          refusal.Kind
	notRun        bool // the request is certain not to have run
	detail        string
	retryAfter    time.Duration
	spread        bool   // retryAfter differs between callers already
	crashedTarget string // name of the target that crashed while the request ran, or empty
}

// Error returns the kind and the detail.
func (e *attemptError) Error() string {
	if e.detail == "" {
		return string(e.kind)
	}
	return string(e.kind) + ": " + e.detail
}

// refuse returns an error of kind with the run state and the retry time that the refusal package defines for it.
func refuse(kind refusal.Kind, detail string) *attemptError {
	answer := refusal.AnswerTo(kind)
	return &attemptError{
		kind:       kind,
		notRun:     answer.RunState == refusal.NotRun,
		detail:     detail,
		retryAfter: answer.RetryAfter,
	}
}

// refuseWithRetryAfter is like refuse, but a positive retryAfter replaces the retry time of the kind.
func refuseWithRetryAfter(kind refusal.Kind, detail string, retryAfter time.Duration) *attemptError {
	refused := refuse(kind, detail)
	if retryAfter > 0 {
		refused.retryAfter = retryAfter
	}
	return refused
}

package daemon

import (
	"time"

	"sapphirespread.example/refusal"
)

// An attemptError tells why one attempt of a call got no answer.
type attemptError struct {
	kind          refusal.Kind
	notRun        bool
	detail        string
	retryAfter    time.Duration
	crashedTarget string
}

// Error returns the kind and the detail.
func (e *attemptError) Error() string {
	if e.detail == "" {
		return string(e.kind)
	}
	return string(e.kind) + ": " + e.detail
}

// refuse returns the error of an attempt that the closed list describes whole.
func refuse(kind refusal.Kind, detail string) *attemptError {
	answer := refusal.AnswerTo(kind)
	return &attemptError{
		kind:       kind,
		notRun:     answer.RunState == refusal.NotRun,
		detail:     detail,
		retryAfter: answer.RetryAfter,
	}
}

// refuseAfter is refuse with the time after which a retry can be expected to succeed.
func refuseWithRetryAfter(kind refusal.Kind, detail string, after time.Duration) *attemptError {
	refused := refuse(kind, detail)
	if after > 0 {
		refused.retryAfter = after
	}
	return refused
}

package dialect

import (
	"time"

	"sapphirespread.example/refusal"
)

// A Refusal is the answer to a request that no backend server answered.
type Refusal struct {
	Kind refusal.Kind
	// NotRun is set where the request has not run and never will.
	NotRun     bool
	RetryAfter time.Duration
	RequestID  string
}

package dialect

import (
	"time"

	"sapphirespread.example/refusal"
)

// Refusal describes the response to a request that was refused or failed without an answer of a backend server.
type Refusal struct {
	Kind refusal.Kind
	// NotRun reports whether the request has not run and never will.
	NotRun     bool
	RetryAfter time.Duration
	RequestID  string
}

package dialect

import (
	"math/rand/v2"
	"time"

	"sapphirespread.example/refusal"
	"sapphirespread.example/retry"
)

// Refusal describes the response to a request that was refused or failed without an answer of a backend server.
type Refusal struct {
	Kind refusal.Kind
	// NotRun reports whether the request has not run and never will.
	NotRun     bool
	RetryAfter time.Duration
	// Spread reports that RetryAfter was chosen for this caller alone, so that it needs no jitter.
	Spread    bool
	RequestID string
}

// JitteredRetryAfter returns when the caller may return: RetryAfter, with jitter unless it is spread already.
func (r Refusal) JitteredRetryAfter() time.Duration {
	if r.Spread {
		return r.RetryAfter
	}
	return retry.JitterRetryAfter(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), r.RetryAfter)
}

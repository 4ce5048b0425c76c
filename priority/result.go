package priority

import "time"

// A Cause is why a run failed, as far as a Gate needs to know.
type Cause uint8

// The causes. A run without one succeeded, or its Result doesn't tell.
const (
	CauseNone    Cause = iota
	CauseAborted       // the caller left or the run was given up, which says nothing about the backend server
	CauseNested        // the backend server answered with an error after a nested call had failed
	CauseRefused       // the backend server refused the request
	CauseErrored       // the backend server answered with an error
	CauseBroken        // the backend server gave no answer
)

// A Result is the outcome of one admitted request at the backend server.
type Result struct {
	Latency time.Duration
	Failed  bool
	Cause   Cause
	// Nested is the part of Latency that the backend server spent on nested calls.
	Nested time.Duration
}

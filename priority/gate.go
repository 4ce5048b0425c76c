package priority

import (
	"math"
	"time"
)

// A Gate bounds how fast requests start, in addition to the concurrency limit. Requests that it holds wait in the order of
// the queue.
type Gate interface {
	// Offered counts a request that arrives.
	Offered(now time.Time)
	// Open reports whether one more request may start.
	Open(now time.Time) bool
	// Started counts the start of a request.
	Started(now time.Time)
	// Ended records the end of a run.
	Ended(now time.Time, route string, result Result)
	// Rate returns how many requests per second may start, or +Inf if that is not bounded.
	Rate(now time.Time) float64
}

// openGate bounds nothing.
type openGate struct{}

func (openGate) Offered(time.Time)               {}
func (openGate) Open(time.Time) bool             { return true }
func (openGate) Started(time.Time)               {}
func (openGate) Ended(time.Time, string, Result) {}
func (openGate) Rate(time.Time) float64          { return math.Inf(1) }

package limits

import (
	"time"

	"sapphirespread.example/limit"
)

// A Load is the demand of one workspace.
type Load struct {
	Workspace string
	Bucket    limit.Bucket
	// Demand is a multiple of the rate. Up to 1, requests beyond the bucket are left out of the load.
	Demand float64
	// FirstDaemonShare is the share of the requests that arrive at the first daemon; the rest arrive at all alike.
	FirstDaemonShare float64
}

// A Scenario is a load with the links and faults under which it is served.
type Scenario struct {
	Name     string
	Daemons  int
	Loads    []Load
	Length   time.Duration
	Seed     uint64
	Delay    time.Duration // one way, between a daemon and the owner
	Patience time.Duration // for which a request waits for a token
	// OwnerLostAt is when the owner is lost, or 0. Another one starts OwnerGap later.
	OwnerLostAt time.Duration
	OwnerGap    time.Duration
}

// A Method is a way to hold workspaces to their limits.
type Method string

// The methods compared.
const (
	Grants       Method = "grants"
	EvenSplit    Method = "even split"
	AskEveryTime Method = "ask every time"
)

// An Outcome is what came of one workspace's requests.
type Outcome struct {
	Workspace string
	Offered   int
	// Within is the number of requests that an exact bucket of the whole fleet admits.
	Within   int
	Admitted int
	// Excess is the largest number of tokens used beyond rate and burst in any window.
	Excess float64
	// WaitMedian and WaitMost are of the admitted requests.
	WaitMedian, WaitMost time.Duration
	// RefusedUntil is when the last request was refused.
	RefusedUntil time.Duration
	waits        []time.Duration
	exact        *Bucket
	used         *Bucket
}

// Wrongful returns the share of the requests within the limit that were refused, or for which no other of the
// workspace's requests was admitted.
func (o Outcome) Wrongful() float64 {
	if o.Within == 0 {
		return 0
	}
	return float64(max(0, o.Within-o.Admitted)) / float64(o.Within)
}

// A Report is the result of a run.
type Report struct {
	Outcomes []Outcome
	// Messages is the number of asks, grants and returns, or of questions and answers.
	Messages int
	// OwnerIdle is the time from the owner's loss to the first request admitted by another one's tokens.
	OwnerIdle time.Duration
}

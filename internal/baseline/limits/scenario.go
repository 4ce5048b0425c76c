package limits

import (
	"time"

	"sapphirespread.example/limit"
)

// Load describes the limit of one workspace and the requests that it sends.
type Load struct {
	Workspace string
	Bucket    limit.Bucket
	// Demand is the request rate as a multiple of the rate of Bucket. Up to 1, requests that exceed the bucket are
	// left out of the load.
	Demand float64
	// FirstDaemonShare is the share of the requests sent to the first daemon; the rest are spread evenly over all
	// daemons.
	FirstDaemonShare float64
}

// Scenario describes the load, the links and the loss of the owner in one simulation.
type Scenario struct {
	Name         string
	Daemons      int
	Loads        []Load
	Duration     time.Duration
	Seed         uint64
	LinkDelay    time.Duration // one way, between a daemon and the owner
	QueueTimeout time.Duration // how long a request waits for a token
	// OwnerLostAt is the time at which the owner is lost, or 0 for never. A new owner starts OwnerDowntime later.
	OwnerLostAt   time.Duration
	OwnerDowntime time.Duration
}

// Method is a way to enforce the limits of workspaces.
type Method string

// The compared methods. Their values appear in the names of benchmarks.
const (
	Grants        Method = "grants"
	EvenSplit     Method = "even split"
	CentralBucket Method = "ask every time"
)

// Outcome holds the results of one workspace.
type Outcome struct {
	Workspace string
	Offered   int
	// Within is the number of requests that one exact bucket shared by all daemons would admit.
	Within   int
	Admitted int
	// Excess is the largest number of tokens used beyond rate and burst in any window.
	Excess float64
	// MedianWait and MaxWait are the times that admitted requests waited for a token.
	MedianWait, MaxWait time.Duration
	// LastRefusal is the time of the last refusal, from the start of the simulation.
	LastRefusal time.Duration
	waits       []time.Duration
	reference   *Bucket
	used        *Bucket
}

// WrongfulRatio returns the share of the requests within the limit that were refused without another request of
// the workspace being admitted instead.
func (o Outcome) WrongfulRatio() float64 {
	if o.Within == 0 {
		return 0
	}
	return float64(max(0, o.Within-o.Admitted)) / float64(o.Within)
}

// Report is the result of a simulation.
type Report struct {
	Outcomes []Outcome
	// Messages is the number of messages between daemons and owner: grant requests, grants and returns, or queries
	// and answers.
	Messages int
	// FailoverTime is the time from the loss of the owner to the first request admitted with tokens of a new
	// owner.
	FailoverTime time.Duration
}

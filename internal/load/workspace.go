package load

import "time"

// A Workspace is a caller with a rate of requests and a limit that it was granted.
type Workspace struct {
	Name  string
	Key   string
	Rate  float64
	Limit Limit
}

// A Limit is a rate per second with a burst; without a rate there is none.
type Limit struct {
	Rate  float64
	Burst int64
}

// A Route is one kind of request and the share that it has among all.
type Route struct {
	Name       string
	Method     string
	Path       string
	Service    string
	Priority   int
	Deadline   time.Duration
	Repeatable bool
	Weight     float64
}

// A Phase multiplies the rate of one workspace, or of all where Workspace is empty, for a while.
type Phase struct {
	From, To  time.Duration
	Workspace string
	Factor    float64
}

func (p Phase) covers(at time.Duration, workspace string) bool {
	return at >= p.From && at < p.To && (p.Workspace == "" || p.Workspace == workspace)
}

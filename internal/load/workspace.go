package load

import "time"

// Workspace is a caller with its request rate per second and the limit granted to it.
type Workspace struct {
	Name  string
	Key   string
	Rate  float64
	Limit Limit
}

// Limit is a rate in requests per second with a burst in requests; a rate of 0 or less means no limit.
type Limit struct {
	Rate  float64
	Burst int64
}

// Route is one kind of request, whose share of all requests is proportional to its Weight.
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

// Phase multiplies the request rate of one workspace, or of all if Workspace is empty, from From until To.
type Phase struct {
	From, To  time.Duration
	Workspace string
	Factor    float64
}

func (p Phase) covers(at time.Duration, workspace string) bool {
	return at >= p.From && at < p.To && (p.Workspace == "" || p.Workspace == workspace)
}

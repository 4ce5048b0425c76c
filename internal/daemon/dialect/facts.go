package dialect

import "time"

// Facts contains the request metadata that a Dialect may pass to the backend server.
type Facts struct {
	RequestID      string
	Workspace      string
	CallerService  string
	Target         string
	Priority       int
	Remaining      time.Duration
	CallToken      string
	IdempotencyKey string
}

package dialect

import "time"

// Facts are what a backend server may be told of its request.
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

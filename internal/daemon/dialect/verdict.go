package dialect

// Verdict classifies an answer of a backend server.
type Verdict string

// Verdicts on an answer.
const (
	// Valid means that the answer is valid and is forwarded to the caller.
	Valid Verdict = "whole"
	// NoCapacity means that the request has not run because the backend server has no free capacity.
	NoCapacity Verdict = "full"
	// Misdirected means that the request has not run because a different backend server received it.
	Misdirected Verdict = "misdirected"
	// Broken means that the answer can't be forwarded and the request may have run.
	Broken Verdict = "broken"
	// Foreign means that the answer belongs to another request.
	Foreign Verdict = "foreign"
)

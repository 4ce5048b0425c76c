package dialect

// A Verdict is what an answer of a backend server means.
type Verdict string

// The verdicts.
const (
	// Whole answers are passed on.
	Whole Verdict = "whole"
	// Full answers say that the request has not run, for want of room.
	Full Verdict = "full"
	// Misdirected answers say that the request has not run, as another backend server is there.
	Misdirected Verdict = "misdirected"
	// Broken answers can't be passed on; the request may have run.
	Broken Verdict = "broken"
	// Foreign answers belong to another request.
	Foreign Verdict = "foreign"
)

package dialect

import "net/http"

// A Dialect translates what callers and backend servers say beside the requests and answers themselves.
// It is safe for concurrent use.
type Dialect interface {
	// Arrive reads what a caller says of its request.
	Arrive(header http.Header) Arrival
	// Forward returns the headers of a request that are passed on, in a copy.
	Forward(header http.Header) http.Header
	// Tell sets the headers that tell a backend server of its request.
	Tell(header http.Header, facts Facts)
	// Judge tells what an answer of a backend server means for its request.
	Judge(status int, header http.Header, facts Facts) Verdict
	// Answer returns the headers of an answer that are passed on to the caller, in a copy.
	Answer(header http.Header) http.Header
	// Refuse writes the answer to a request that no backend server answered.
	Refuse(w http.ResponseWriter, refused Refusal)
}

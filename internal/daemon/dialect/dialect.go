package dialect

import (
	"net/http"

	"sapphirespread.example/internal/backend/load"
)

// Dialect reads and writes the headers that carry metadata between the daemon, its callers and its backend server. Its
// methods are safe for concurrent use.
type Dialect interface {
	// ReadRequest extracts the metadata of a caller's request from its headers.
	ReadRequest(header http.Header) Arrival
	// Forward returns a copy of the request headers to forward to the backend server.
	Forward(header http.Header) http.Header
	// SetRequestHeaders sets the headers that describe a request to the backend server.
	SetRequestHeaders(header http.Header, facts Facts)
	// AnswerKey returns the ID by which ClassifyAnswer tells the answer to a request from others, or an empty string.
	AnswerKey(facts Facts) string
	// ClassifyAnswer classifies an answer of the backend server to the request described by facts.
	ClassifyAnswer(status int, header http.Header, facts Facts) Verdict
	// ServerLoad extracts the load that a backend server states in its answer, or returns false if it states none.
	ServerLoad(header http.Header) (load.Report, bool)
	// Answer returns a copy of the answer headers to forward to the caller.
	Answer(header http.Header) http.Header
	// Refuse writes the response to a request that was refused or failed without an answer of a backend server.
	Refuse(w http.ResponseWriter, refused Refusal)
}

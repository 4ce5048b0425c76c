package daemon

import (
	"net/http"
)

// An answer is a backend server's response on its way to the caller.
type answer struct {
	status        int
	header        http.Header
	contentLength int64
	trailerNames  []string
	body          answerBody
}

// An answerBody reads the body of an answer; Read returns io.EOF only where the answer is whole.
type answerBody interface {
	Read(buffer []byte) (int, error)
	// Close ends the call; where the body was not read to its end, the call is cancelled.
	Close() error
	// Trailer returns the trailers, which are complete after io.EOF.
	Trailer() http.Header
}

package daemon

import (
	"net/http"
)

// An answer is a backend server's response that is passed on to the caller.
type answer struct {
	status        int
	header        http.Header
	contentLength int64
	trailerNames  []string
	body          answerBody
}

// An answerBody reads the body of an answer. Read returns io.EOF only if the answer is complete.
type answerBody interface {
	Read(buffer []byte) (int, error)
	// Close ends the call. It cancels the call if the body has not been read to its end.
	Close() error
	// Trailer returns the trailers, which are complete once Read has returned io.EOF.
	Trailer() http.Header
}

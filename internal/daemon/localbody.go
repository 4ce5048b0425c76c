package daemon

import (
	"errors"
	"io"
	"net/http"

	"sapphirespread.example/refusal"
)

// A localBody reads the body of the backend server's response, and ends the run at its end.
type localBody struct {
	run      *localRun
	response *http.Response
	header   http.Header
	ended    bool
}

// Read reads the body. An error other than io.EOF means that the answer was cut short.
func (b *localBody) Read(buffer []byte) (int, error) {
	n, err := b.response.Body.Read(buffer)
	if b.run.claim != nil {
		b.run.claim.appendBody(buffer[:n])
	}
	if errors.Is(err, io.EOF) {
		b.end(true)
		return n, err
	}
	if err != nil {
		b.handleTruncation()
	}
	return n, err
}

// handleTruncation ends the run after the response was cut short, and reports a crash if the backend server is gone.
func (b *localBody) handleTruncation() {
	run := b.run
	ctx := b.response.Request.Context()
	if run.failureKind(ctx) == refusal.TargetFailed {
		run.reportCrash(ctx)
	}
	b.end(false)
}

// Close ends the run and closes the body. It cancels the request if the body has not been read to its end.
func (b *localBody) Close() error {
	b.end(false)
	return b.response.Body.Close()
}

// Trailer returns the trailers of the response that may be forwarded.
func (b *localBody) Trailer() http.Header {
	return cloneForward(b.response.Trailer)
}

// end stores the outcome with the claim, if there is one, and finishes the run.
func (b *localBody) end(complete bool) {
	if b.ended {
		return
	}
	b.ended = true
	if claim := b.run.claim; claim != nil {
		if complete {
			claim.finish(b.response.StatusCode, b.header)
		} else {
			claim.finishUnknown()
		}
	}
	b.run.finish(!complete, "")
}

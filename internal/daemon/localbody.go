package daemon

import (
	"errors"
	"io"
	"net/http"

	"sapphirespread.example/refusal"
)

// A localBody reads the backend server's response and ends the run with it.
type localBody struct {
	run      *localRun
	response *http.Response
	header   http.Header
	ended    bool
}

// Read reads the response; an error other than io.EOF means that the answer was cut short.
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

// cut ends the run after the response broke off.
func (b *localBody) handleTruncation() {
	run := b.run
	ctx := b.response.Request.Context()
	if run.failureKind(ctx) == refusal.TargetFailed {
		run.reportCrash(ctx)
	}
	b.end(false)
}

// Close ends the run; where the response was not read to its end, it is cancelled.
func (b *localBody) Close() error {
	b.end(false)
	return b.response.Body.Close()
}

// Trailer returns the response's trailers.
func (b *localBody) Trailer() http.Header {
	return cloneForward(b.response.Trailer)
}

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

package daemon

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"

	"sapphirespread.example/internal/daemon/dialect"
	"sapphirespread.example/refusal"
)

// refuseCaller writes a refusal to a request that has no call yet.
func (d *Daemon) refuseCaller(w http.ResponseWriter, requestID string, refused *attemptError) {
	d.refuseCall(w, nil, requestID, refused)
}

// refuseCall writes a refusal, counts it and logs it. c is nil if the request has no call.
func (d *Daemon) refuseCall(w http.ResponseWriter, c *call, requestID string, refused *attemptError) {
	d.counters.countRefusal(refused.kind)
	d.logRefused(c, requestID, refused)
	d.dialect.Refuse(w, dialect.Refusal{
		Kind: refused.kind, NotRun: refused.notRun, RetryAfter: refused.retryAfter, Spread: refused.spread, RequestID: requestID,
	})
}

// newRandom returns a randomly seeded generator, which is not safe for concurrent use.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// A discarder is an http.ResponseWriter that can drop an answer of which nothing has been sent.
type discarder interface {
	// Discard reports whether the answer was dropped, so that another one can be written in its place.
	Discard() bool
}

// sendAnswer streams the answer to the caller. If the answer is cut short, it sends a refusal in its place, or aborts the
// connection if a part was sent already.
func (d *Daemon) sendAnswer(w http.ResponseWriter, c *call, a *answer) {
	defer func() { _ = a.body.Close() }()
	header := w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	for _, name := range a.trailerNames {
		header.Add("Trailer", name)
	}
	if a.contentLength >= 0 && len(a.trailerNames) == 0 && header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.FormatInt(a.contentLength, 10))
	}
	w.WriteHeader(a.status)
	if err := copyAnswer(w, a); err != nil {
		if writer, ok := w.(discarder); ok && writer.Discard() {
			d.refuseCall(w, c, c.rootID, refuse(refusal.AnswerCut, err.Error()))
			return
		}
		d.counters.countRefusal(refusal.AnswerCut)
		d.logAnswered(c, a.status, false)
		panic(http.ErrAbortHandler)
	}
	for name, values := range a.body.Trailer() {
		header[name] = values
	}
	d.counters.answered.Add(1)
	d.logAnswered(c, a.status, true)
}

// copyAnswer copies the body of a to w. If the length of the body is unknown, it flushes after each read.
func copyAnswer(w http.ResponseWriter, a *answer) error {
	buffer := takeBuffer()
	defer putBuffer(buffer)
	controller := http.NewResponseController(w)
	for {
		n, err := a.body.Read(*buffer)
		if n > 0 {
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if a.contentLength < 0 {
			_ = controller.Flush()
		}
	}
}

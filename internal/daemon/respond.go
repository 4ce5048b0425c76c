package daemon

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"sapphirespread.example/refusal"
	"sapphirespread.example/retry"
)

// A refusalBody is the body of a refusal.
type refusalBody struct {
	Kind      refusal.Kind     `json:"kind"`
	RunState  refusal.RunState `json:"run-state"`
	Retryable bool             `json:"retryable"`
	Detail    string           `json:"detail"`
}

// refuseCaller writes the answer of the closed table for refused.
func (d *Daemon) refuseCaller(w http.ResponseWriter, refused *attemptError) {
	d.counters.refuse(refused.kind)
	said := refusal.AnswerTo(refused.kind)
	body := refusalBody{Kind: refused.kind, RunState: refusal.Unknown, Retryable: said.Retryable, Detail: said.Detail}
	if refused.notRun {
		body.RunState = refusal.NotRun
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerRefusal, string(refused.kind))
	header.Set(headerRunState, string(body.RunState))
	if said.Retryable {
		setRetryAfter(header, refused.retryAfter)
	}
	w.WriteHeader(said.Status)
	_ = json.NewEncoder(w).Encode(body)
}

func setRetryAfter(header http.Header, base time.Duration) {
	after := retry.After(newRandom(), base)
	seconds := max(int64((after+time.Second-1)/time.Second), 1)
	header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	header.Set(headerRetryAfterMs, strconv.FormatInt(after.Milliseconds(), 10))
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// sendAnswer streams the answer to the caller; one that is cut short aborts the connection.
func (d *Daemon) sendAnswer(w http.ResponseWriter, a *answer) {
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
		d.counters.refuse(refusal.AnswerCut)
		panic(http.ErrAbortHandler)
	}
	for name, values := range a.body.Trailer() {
		header[name] = values
	}
	d.counters.answered.Add(1)
}

// copyAnswer flushes after each read where the answer's length is not known beforehand.
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

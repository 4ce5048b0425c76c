package daemon

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"sapphirespread.example/internal/backend/load"
	"sapphirespread.example/internal/daemon/dialect"
	"sapphirespread.example/refusal"
)

// ownDialect is the default dialect: the project's own headers, and refusals with a JSON body.
type ownDialect struct{}

var _ dialect.Dialect = ownDialect{}

// ReadRequest removes the key from header and returns it.
func (ownDialect) ReadRequest(header http.Header) dialect.Arrival {
	return dialect.Arrival{Key: extractKey(header)}
}

// Forward returns a copy of header without hop-by-hop headers, the key and the project's own headers.
func (ownDialect) Forward(header http.Header) http.Header { return cloneForward(header) }

// Answer returns a copy of header without hop-by-hop headers, the key and the project's own headers.
func (ownDialect) Answer(header http.Header) http.Header { return cloneForward(header) }

// SetRequestHeaders sets the headers that describe the request to the backend server, including the call token for
// nested calls.
func (ownDialect) SetRequestHeaders(header http.Header, facts dialect.Facts) {
	header[headerCallToken] = []string{facts.CallToken}
	header[headerRequestID] = []string{facts.RequestID}
	header[headerPriority] = []string{strconv.Itoa(facts.Priority)}
	header[headerDeadline] = []string{strconv.FormatInt(max(facts.Remaining.Milliseconds(), 0), 10)}
	if facts.Workspace != "" {
		header[headerWorkspace] = []string{facts.Workspace}
	}
	if facts.IdempotencyKey != "" {
		header[headerIdempotencyKey] = []string{facts.IdempotencyKey}
	}
	if _, given := header["User-Agent"]; !given {
		header["User-Agent"] = []string{""}
	}
}

// AnswerKey returns nothing: the answers name no request.
func (ownDialect) AnswerKey(dialect.Facts) string { return "" }

// ClassifyAnswer accepts every answer, because backend servers of this dialect don't identify the request in their
// answers.
func (ownDialect) ClassifyAnswer(int, http.Header, dialect.Facts) dialect.Verdict {
	return dialect.Valid
}

// ServerLoad returns nothing: backend servers of this dialect don't state their load.
func (ownDialect) ServerLoad(http.Header) (load.Report, bool) { return load.Report{}, false }

// A refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Kind      refusal.Kind     `json:"kind"`
	RunState  refusal.RunState `json:"run-state"`
	Retryable bool             `json:"retryable"`
	Detail    string           `json:"detail"`
}

// Refuse writes the status, the headers and the body that the refusal package defines for the kind.
func (ownDialect) Refuse(w http.ResponseWriter, refused dialect.Refusal) {
	answer := refusal.AnswerTo(refused.Kind)
	body := refusalBody{Kind: refused.Kind, RunState: refusal.Unknown, Retryable: answer.Retryable, Detail: answer.Detail}
	if refused.NotRun {
		body.RunState = refusal.NotRun
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerRefusal, string(refused.Kind))
	header.Set(headerRunState, string(body.RunState))
	if answer.Retryable {
		setRetryAfter(header, refused.JitteredRetryAfter())
	}
	w.WriteHeader(answer.Status)
	_ = json.NewEncoder(w).Encode(body)
}

// setRetryAfter sets the retry headers to after, in whole seconds and in milliseconds.
func setRetryAfter(header http.Header, after time.Duration) {
	seconds := max(int64((after+time.Second-1)/time.Second), 1)
	header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	header.Set(headerRetryAfterMs, strconv.FormatInt(after.Milliseconds(), 10))
}

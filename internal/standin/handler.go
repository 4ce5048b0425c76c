package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// CrashParameter is the query parameter that names the service whose backend server the request crashes.
const CrashParameter = "crash"

// The failures that a stand-in names in FailureHeader.
const (
	failureShed     = "shed"
	failureDeadline = "deadline"
	failureCall     = "sub-call"
	failureRequest  = "request"
)

// Handler returns the handler of requests and of the control endpoints.
func (s *Server) Handler() http.Handler {
	var work http.Handler = http.HandlerFunc(s.handle)
	if s.gate != nil {
		work = s.gate(work)
	}
	mux := http.NewServeMux()
	s.handleControl(mux)
	mux.Handle("/", work)
	return mux
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		s.late.Add(1)
	}
	if !s.executor.hold(s.connections) {
		fail(w, http.StatusServiceUnavailable, failureShed, "more requests than connections")
		return
	}
	defer s.executor.release()
	digest, err := Digest(r.Method, r.URL.RequestURI(), r.Body)
	if err != nil {
		fail(w, http.StatusBadRequest, failureRequest, err.Error())
		return
	}
	if key := r.Header.Get(IdempotencyKeyHeader); key != "" {
		s.runs.add(key)
	}
	if r.URL.Query().Get(CrashParameter) == s.service {
		s.Crash()
		<-r.Context().Done()
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if err := s.run(ctx, r); err != nil {
		answerFailure(w, err, ctx.Err())
		return
	}
	s.finished.Add(1)
	s.answer(w, r, digest)
}

// run does half the work before the sub-calls and half after them.
func (s *Server) run(ctx context.Context, r *http.Request) error {
	half := s.sample() / 2
	if err := s.executor.work(ctx, half); err != nil {
		return err
	}
	for _, call := range s.calls {
		if err := s.call(ctx, r, call); err != nil {
			return err
		}
	}
	return s.executor.work(ctx, half)
}

// call makes one sub-call and checks that its answer is whole and its own.
func (s *Server) call(ctx context.Context, parent *http.Request, call Call) error {
	uri := call.Path
	if query := parent.URL.RawQuery; query != "" {
		uri += "?" + query
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Service+uri, nil)
	if err != nil {
		return errorx.Decorate(err, "build sub-call to %s", call.Service)
	}
	response, err := s.caller.Send(ctx, call.Service, parent, request)
	if err != nil {
		return errorx.Decorate(err, "call %s", call.Service)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return errorx.ExternalError.New("call %s: status %d %s", call.Service, response.StatusCode, response.Header.Get(RefusalHeader))
	}
	return Verify(response.Body, call.Method, uri)
}

// Verify returns an error unless body is a whole answer to the request without a body of that method and URI.
func Verify(body io.Reader, method, uri string) error {
	var answer Answer
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return errorx.Decorate(err, "decode answer")
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return errorx.Decorate(err, "read answer to its end")
	}
	want, err := Digest(method, uri, nil)
	if err != nil {
		return err
	}
	if answer.Digest != want {
		return errorx.DataUnavailable.New("answer to another request: digest %s, want %s", answer.Digest, want)
	}
	return nil
}

func (s *Server) sample() time.Duration {
	s.randomMu.Lock()
	work := s.distribution.Sample(s.random, s.mean)
	s.randomMu.Unlock()
	factor := 1 + (s.coldFactor-1)*s.coldness(time.Now())
	return time.Duration(float64(work) * factor)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, digest string) {
	answer := Answer{
		Digest:    digest,
		Service:   s.service,
		Target:    s.name,
		Workspace: r.Header.Get(WorkspaceHeader),
		Padding:   strings.Repeat("x", s.padding),
	}
	body, err := json.Marshal(answer)
	if err != nil {
		fail(w, http.StatusInternalServerError, failureRequest, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// answerFailure answers for err; ended is the error of the request's context, if any.
func answerFailure(w http.ResponseWriter, err, ended error) {
	if errors.Is(ended, context.DeadlineExceeded) {
		fail(w, http.StatusGatewayTimeout, failureDeadline, "the deadline passed")
		return
	}
	fail(w, http.StatusBadGateway, failureCall, err.Error())
}

func fail(w http.ResponseWriter, status int, failure, detail string) {
	w.Header().Set(FailureHeader, failure)
	http.Error(w, detail, status)
}

// requestContext ends when the caller leaves or the deadline of the request passes.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	remaining, err := strconv.Atoi(r.Header.Get(DeadlineHeader))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(remaining)*time.Millisecond)
}

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

// CrashParameter is the query parameter with the name of the service whose backend server crashes on the request.
const CrashParameter = "crash"

// Values of FailureHeader.
const (
	failureShed     = "shed"
	failureDeadline = "deadline"
	failureCall     = "sub-call"
	failureRequest  = "request"
)

// Handler returns the HTTP handler for requests and for the control endpoints.
func (s *Server) Handler() http.Handler {
	var requestHandler http.Handler = http.HandlerFunc(s.handleRequest)
	if s.middleware != nil {
		requestHandler = s.middleware(requestHandler)
	}
	mux := http.NewServeMux()
	s.registerControl(mux)
	mux.Handle("/", requestHandler)
	return mux
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		s.late.Add(1)
	}
	if !s.executor.admit(s.maxInFlight) {
		writeFailure(w, http.StatusServiceUnavailable, failureShed, "more requests than connections")
		return
	}
	defer s.executor.release()
	digest, err := Digest(r.Method, r.URL.RequestURI(), r.Body)
	if err != nil {
		writeFailure(w, http.StatusBadRequest, failureRequest, err.Error())
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
	if err := s.serveRequest(ctx, r); err != nil {
		writeRunError(w, err, ctx.Err())
		return
	}
	s.finished.Add(1)
	s.writeResponse(w, r, digest)
}

// serveRequest does half of the work of a request before its nested calls and half after them.
func (s *Server) serveRequest(ctx context.Context, r *http.Request) error {
	half := s.sampleServiceTime() / 2
	if err := s.executor.run(ctx, half); err != nil {
		return err
	}
	for _, call := range s.calls {
		if err := s.sendNestedCall(ctx, r, call); err != nil {
			return err
		}
	}
	return s.executor.run(ctx, half)
}

// sendNestedCall sends a nested call and verifies that its response is complete and belongs to it.
func (s *Server) sendNestedCall(ctx context.Context, parent *http.Request, call NestedCall) error {
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

// Verify returns an error unless body is a complete response to a request with this method and URI and an empty body.
func Verify(body io.Reader, method, uri string) error {
	var response ResponseBody
	if err := json.NewDecoder(body).Decode(&response); err != nil {
		return errorx.Decorate(err, "decode answer")
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return errorx.Decorate(err, "read answer to its end")
	}
	want, err := Digest(method, uri, nil)
	if err != nil {
		return err
	}
	if response.Digest != want {
		return errorx.DataUnavailable.New("answer to another request: digest %s, want %s", response.Digest, want)
	}
	return nil
}

func (s *Server) sampleServiceTime() time.Duration {
	s.randomMu.Lock()
	serviceTime := s.distribution.Sample(s.random, s.meanServiceTime)
	s.randomMu.Unlock()
	factor := 1 + (s.coldStartFactor-1)*s.coldStartRemaining(time.Now())
	return time.Duration(float64(serviceTime) * factor)
}

func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, digest string) {
	response := ResponseBody{
		Digest:    digest,
		Service:   s.service,
		Target:    s.name,
		Workspace: r.Header.Get(WorkspaceHeader),
		Padding:   strings.Repeat("x", s.responsePadding),
	}
	body, err := json.Marshal(response)
	if err != nil {
		writeFailure(w, http.StatusInternalServerError, failureRequest, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// writeRunError writes the response for err: 504 if ctxErr, the error of the request's context, is
// an exceeded deadline, 502 otherwise.
func writeRunError(w http.ResponseWriter, err, ctxErr error) {
	if errors.Is(ctxErr, context.DeadlineExceeded) {
		writeFailure(w, http.StatusGatewayTimeout, failureDeadline, "the deadline passed")
		return
	}
	writeFailure(w, http.StatusBadGateway, failureCall, err.Error())
}

func writeFailure(w http.ResponseWriter, status int, failure, detail string) {
	w.Header().Set(FailureHeader, failure)
	http.Error(w, detail, status)
}

// requestContext returns a context that ends when the caller disconnects or after the remaining
// milliseconds in the deadline header.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	remaining, err := strconv.Atoi(r.Header.Get(DeadlineHeader))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(remaining)*time.Millisecond)
}

package daemon

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sapphirespread.example/internal/backend/connection"
	"sapphirespread.example/internal/daemon/dialect"
	"sapphirespread.example/priority"
	"sapphirespread.example/refusal"
)

const httpScheme = "http"

// runLocal runs c at the backend server beside this daemon; done is called once, when the call ends.
func (d *Daemon) runLocal(ctx context.Context, c *call, targetName string, incarnation uint64, done func(callReport)) (*answer, *attemptError) {
	run := &localRun{daemon: d, call: c, done: done}
	announcement, current, present := d.backend.at(time.Now())
	if !present || announcement.Name != targetName || current != incarnation {
		return nil, run.refuse(refuse(refusal.TargetUnreachable, "the target's backend server has left"))
	}
	if refused := d.checkBeforeRun(c); refused != nil {
		return nil, run.refuse(refused)
	}
	// Callers' daemons number their calls each for itself.
	c.admissionID = d.nextCallID()
	if refused := d.admitter.admit(ctx, c); refused != nil {
		return nil, run.refuse(refused)
	}
	run.admittedAt = time.Now()
	run.announcement, run.incarnation = announcement, incarnation
	return run.start(ctx)
}

// checkBeforeRun refuses what must not reach the backend server.
func (d *Daemon) checkBeforeRun(c *call) *attemptError {
	if d.refusing.Load() {
		return refuse(refusal.Draining, "the instance is stopping")
	}
	if d.backend.refuses(time.Now()) {
		return refuse(refusal.Draining, "the backend server is leaving")
	}
	if d.isQuarantined(c) {
		return refuse(refusal.Quarantined, "")
	}
	return nil
}

// A localRun is one admitted call at the backend server beside this daemon.
type localRun struct {
	daemon       *Daemon
	call         *call
	announcement Announcement
	incarnation  uint64
	admittedAt   time.Time
	done         func(callReport)
	claim        *heldClaim
	token        string
	tracked      *trackedRun
	ended        atomic.Bool
	serverError  bool // the backend server answered with a failure
	cancel       context.CancelFunc
}

// refuse ends a run that was not admitted.
func (r *localRun) refuse(refused *attemptError) *attemptError {
	r.done(r.daemon.reportOf(r.call, ""))
	return refused
}

// start claims the run where it may not be repeated, and sends the request.
func (r *localRun) start(ctx context.Context) (*answer, *attemptError) {
	if r.call.needsClaim {
		claim, replay, refused := r.daemon.claim(ctx, r.call)
		if replay != nil || refused != nil {
			r.finish(true, "")
			return replay, refused
		}
		r.claim = claim
	}
	if !time.Now().Before(r.call.deadline) || ctx.Err() != nil {
		return nil, r.giveUp(refuse(refusal.DeadlineUnreachable, "the deadline passed before the request ran"))
	}
	return r.send(ctx)
}

// giveUp ends an admitted run whose request no backend server has seen.
func (r *localRun) giveUp(refused *attemptError) *attemptError {
	r.releaseClaim()
	r.finish(true, "")
	return refused
}

func (r *localRun) releaseClaim() {
	if r.claim != nil {
		r.claim.release()
		r.claim = nil
	}
}

func (r *localRun) send(ctx context.Context) (*answer, *attemptError) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.call.runContext = ctx
	if r.daemon.listeners.Subcalls != nil {
		r.token = r.daemon.tokens.issue(r.call)
	} else {
		r.daemon.running.add(r.call)
	}
	tracked, refused := r.daemon.trackRun(ctx, r.call, r.announcement.Name)
	if refused != nil {
		return nil, r.giveUp(refused)
	}
	r.tracked = tracked
	startsAt := time.Now()
	if r.claim != nil && !r.claim.mayRun(startsAt) {
		return nil, r.giveUp(refuse(refusal.ClaimUnavailable, "the claim was granted too late"))
	}
	var connected atomic.Bool
	facts := r.facts()
	request, err := r.request(ctx, facts)
	if err != nil {
		return nil, r.giveUp(refuse(refusal.MalformedRequest, err.Error()))
	}
	response, err := r.daemon.backend.connections.Do(ctx, r.announcement.Address, connection.Exchange{
		Request: request,
		Sent: func() {
			connected.Store(true)
			if r.claim != nil {
				r.claim.markStarted(startsAt)
			}
		},
		Own: func(status int, header http.Header) bool {
			return r.daemon.dialect.Judge(status, header, facts) != dialect.Foreign
		},
	})
	if err != nil {
		return nil, r.handleError(ctx, err, connected.Load())
	}
	return r.handleResponse(ctx, response, facts)
}

// facts are what the backend server is told.
func (r *localRun) facts() dialect.Facts {
	c := r.call
	return dialect.Facts{
		RequestID:      c.rootID,
		Workspace:      c.workspace,
		CallerService:  c.callerService,
		Target:         r.announcement.Name,
		Priority:       priority.WorkspaceLevel(c.priority),
		Remaining:      c.remaining(time.Now()),
		CallToken:      r.token,
		IdempotencyKey: c.idempotencyKey,
	}
}

// request makes the request to the backend server.
func (r *localRun) request(ctx context.Context, facts dialect.Facts) (*http.Request, error) {
	c := r.call
	request := &http.Request{
		Method:        c.head.method,
		URL:           c.head.url(httpScheme, r.announcement.Address.String()),
		Host:          c.head.host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        c.head.header.Clone(),
		ContentLength: c.head.contentLength,
		Body:          http.NoBody,
	}
	if !c.bodyless() {
		body, err := c.body.open()
		if err != nil {
			return nil, err
		}
		request.Body = io.NopCloser(body)
		setTrailers(request, c)
	}
	r.daemon.dialect.Tell(request.Header, facts)
	return request.WithContext(ctx), nil
}

func setTrailers(request *http.Request, c *call) {
	if len(c.head.trailerNames) == 0 {
		return
	}
	request.Trailer = make(http.Header, len(c.head.trailerNames))
	for _, name := range c.head.trailerNames {
		request.Trailer[name] = nil
	}
	request.ContentLength = -1
	request.Body = io.NopCloser(&trailerReader{reader: request.Body, call: c, trailer: request.Trailer})
}

// A trailerReader fills in the trailers when the body has been read.
type trailerReader struct {
	reader  io.Reader
	call    *call
	trailer http.Header
}

func (t *trailerReader) Read(buffer []byte) (int, error) {
	n, err := t.reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		received := t.call.body.trailer()
		for name := range t.trailer {
			t.trailer[name] = received[name]
		}
	}
	return n, err
}

// failed ends a run whose request got no answer.
func (r *localRun) handleError(ctx context.Context, err error, connected bool) *attemptError {
	if !connected {
		r.releaseClaim()
		return r.failedBeforeRun(ctx, err)
	}
	r.finishClaimUnknown()
	kind := r.failureKind(ctx)
	crashed := ""
	if kind == refusal.TargetFailed && r.reportCrash(ctx) {
		crashed = r.announcement.Name
		kind = refusal.TargetCrashed
	}
	r.finish(kind == refusal.Cancelled, crashed)
	refused := refuse(kind, err.Error())
	refused.crashedTarget = crashed
	return refused
}

// reportCrash reports a crash where the backend server is gone after a connection failed, and whether it is.
func (r *localRun) reportCrash(ctx context.Context) bool {
	if !probeCrash(ctx, r.announcement.Address) {
		return false
	}
	r.daemon.handleCrash(r.announcement.Name, r.incarnation)
	return true
}

func (r *localRun) failedBeforeRun(ctx context.Context, err error) *attemptError {
	// The end of the run ends ctx too.
	defer r.finish(true, "")
	if ctx.Err() != nil {
		return refuse(refusal.DeadlineUnreachable, "the deadline passed before the request ran")
	}
	var dialError *net.OpError
	if errors.As(err, &dialError) && dialError.Op == "dial" {
		r.daemon.backend.crashed(r.incarnation)
	}
	return refuse(refusal.TargetUnreachable, err.Error())
}

func (r *localRun) failureKind(ctx context.Context) refusal.Kind {
	switch {
	case !time.Now().Before(r.call.deadline):
		return refusal.DeadlineExceeded
	case ctx.Err() != nil:
		return refusal.Cancelled
	default:
		return refusal.TargetFailed
	}
}

// judge passes on a whole answer, and tells what another one means.
func (r *localRun) handleResponse(ctx context.Context, response *http.Response, facts dialect.Facts) (*answer, *attemptError) {
	verdict := r.daemon.dialect.Judge(response.StatusCode, response.Header, facts)
	if verdict == dialect.Whole {
		return r.answer(ctx, response)
	}
	status := "answered " + strconv.Itoa(response.StatusCode)
	_, _ = io.CopyN(io.Discard, response.Body, maxBufferedBodyBytes)
	_ = response.Body.Close()
	switch verdict {
	case dialect.Full:
		return nil, r.giveUp(refuse(refusal.Overloaded, "the backend server has no room: "+status))
	case dialect.Misdirected:
		r.daemon.backend.crashed(r.incarnation)
		return nil, r.giveUp(refuse(refusal.TargetUnreachable, "another backend server is there: "+status))
	default:
		r.finishClaimUnknown()
		r.finish(false, "")
		return nil, refuse(refusal.TargetFailed, "the answer can't be passed on: "+status)
	}
}

// answer returns the backend server's answer. A short one is read first, so that one that is cut can be asked for again.
func (r *localRun) answer(ctx context.Context, response *http.Response) (*answer, *attemptError) {
	if response.StatusCode < http.StatusInternalServerError {
		r.daemon.deeper.recordSuccess(r.call)
	}
	r.serverError = response.StatusCode >= http.StatusInternalServerError
	header := r.daemon.dialect.Answer(response.Header)
	body := &localBody{run: r, response: response, header: header}
	got := &answer{
		status:        response.StatusCode,
		header:        header,
		contentLength: response.ContentLength,
		trailerNames:  trailerNames(response.Trailer),
		body:          body,
	}
	if response.ContentLength < 0 || response.ContentLength > maxBufferedBodyBytes || len(got.trailerNames) > 0 {
		return got, nil
	}
	content := make([]byte, response.ContentLength)
	if _, err := io.ReadFull(body, content); err != nil {
		kind := r.failureKind(ctx)
		_ = body.Close()
		return nil, refuse(kind, "reading the answer: "+err.Error())
	}
	_, _ = body.Read(nil)
	body.end(true)
	_ = response.Body.Close()
	got.body = storedBody{bytes.NewReader(content)}
	return got, nil
}

func (r *localRun) finishClaimUnknown() {
	if r.claim != nil {
		r.claim.finishUnknown()
		r.claim = nil
	}
}

// finish ends the run: it frees the slot, and tells the sender what was left of the allowance.
// An early end says nothing about the backend server.
func (r *localRun) finish(inconclusive bool, crashed string) {
	if r.ended.Swap(true) {
		return
	}
	r.call.ended.Store(true)
	if r.cancel != nil {
		r.cancel()
	}
	if r.token != "" {
		r.daemon.tokens.revoke(r.token)
	} else {
		r.daemon.running.remove(r.call)
	}
	if r.tracked != nil {
		r.tracked.end(!inconclusive && crashed == "")
	}
	serviceTime := time.Since(r.admittedAt)
	r.daemon.admitter.finish(r.call.admissionID, priority.Result{Latency: serviceTime, Failed: inconclusive || r.serverError || crashed != ""})
	r.done(r.daemon.reportOf(r.call, crashed))
}

// reportOf describes this target at the end of c and takes what is left of its allowance.
func (d *Daemon) reportOf(c *call, crashed string) callReport {
	now := time.Now()
	return callReport{
		unused:   c.allowance.Take(c.allowance.Left()),
		level:    d.admitter.level(now),
		deeper:   d.deeper.currentLevel(now, c.route),
		draining: d.draining(),
		crashed:  crashed,
	}
}

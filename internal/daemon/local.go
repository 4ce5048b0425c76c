package daemon

import (
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

// runLocal runs c at the backend server of this daemon. It calls done once, when the call ends.
func (d *Daemon) runLocal(ctx context.Context, c *call, targetName string, incarnation uint64, done func(callReport)) (*answer, *attemptError) {
	run := &localRun{daemon: d, call: c, done: done}
	announcement, current, present := d.backend.announcementAt(time.Now())
	if !present || announcement.Name != targetName || current != incarnation {
		return nil, run.refuse(refuse(refusal.TargetUnreachable, "the target's backend server has left"))
	}
	if refused := d.checkBeforeRun(c); refused != nil {
		return nil, run.refuse(refused)
	}
	// The call ID is unique only within the daemon that sent the call.
	c.admissionID = d.nextCallID()
	if refused := d.admitter.admit(ctx, c); refused != nil {
		return nil, run.refuse(refused)
	}
	run.admittedAt = time.Now()
	run.announcement, run.incarnation = announcement, incarnation
	return run.start(ctx)
}

// checkBeforeRun refuses the call if the instance or the backend server is stopping, the failure domain is out of use or
// the request is quarantined.
func (d *Daemon) checkBeforeRun(c *call) *attemptError {
	if d.refusingPeers.Load() {
		return refuse(refusal.Draining, "the instance is stopping")
	}
	if d.backend.refusesCalls(time.Now()) {
		return refuse(refusal.Draining, "the backend server is leaving")
	}
	if refused := d.checkDomain(); refused != nil {
		return refused
	}
	if d.isQuarantined(c) {
		return refuse(refusal.Quarantined, "")
	}
	return nil
}

// A localRun is one call at the backend server of this daemon.
type localRun struct {
	daemon       *Daemon
	call         *call
	announcement Announcement
	incarnation  uint64
	admittedAt   time.Time
	sentAt       time.Time
	done         func(callReport)
	claim        *heldClaim
	token        string
	tracked      *trackedRun
	ended        atomic.Bool
	serverError  bool // the backend server answered with a server error
	refused      bool // the backend server refused the request
	broken       bool // the backend server gave no answer that can be passed on
	cancel       context.CancelFunc
}

// refuse ends a run that was not admitted and returns refused.
func (r *localRun) refuse(refused *attemptError) *attemptError {
	r.done(r.daemon.reportOf(r.call, ""))
	return refused
}

// start acquires the claim if the call needs one, and sends the request.
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
	// The call may have waited here since before the stop.
	if refused := r.daemon.stopTime.check(r.call, !r.daemon.refusingPeers.Load()); refused != nil {
		return nil, r.giveUp(refused)
	}
	return r.send(ctx)
}

// giveUp ends an admitted run whose request has not run, and returns refused.
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

// send sends the request to the backend server. It marks the claim as started before the first byte is written, and
// releases it if no byte was written.
func (r *localRun) send(ctx context.Context) (*answer, *attemptError) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.call.runContext = ctx
	if r.daemon.listeners.Subcalls != nil {
		r.token = r.daemon.callTokens.issue(r.call)
	} else {
		r.daemon.runningCalls.add(r.call)
	}
	tracked, refused := r.daemon.trackRun(ctx, r.call, r.announcement.Name)
	if refused != nil {
		return nil, r.giveUp(refused)
	}
	r.tracked = tracked
	// An order may have come while the call waited.
	if refused := r.daemon.checkDomain(); refused != nil {
		return nil, r.giveUp(refused)
	}
	startsAt := time.Now()
	if r.claim != nil && !r.claim.mayRun(startsAt) {
		return nil, r.giveUp(refuse(refusal.ClaimUnavailable, "the claim was granted too late"))
	}
	r.sentAt = startsAt
	var connected atomic.Bool
	facts := r.facts()
	request, err := r.request(ctx, facts)
	if err != nil {
		return nil, r.giveUp(refuse(refusal.MalformedRequest, err.Error()))
	}
	response, err := r.daemon.backend.connections.Do(ctx, r.announcement.Address, connection.Exchange{
		Request: request,
		Key:     r.daemon.dialect.AnswerKey(facts),
		BeforeWrite: func() {
			connected.Store(true)
			if r.claim != nil {
				r.claim.markStarted(startsAt)
			}
		},
		BelongsToRequest: func(status int, header http.Header) bool {
			return r.daemon.dialect.ClassifyAnswer(status, header, facts) != dialect.Foreign
		},
	})
	if err != nil {
		return nil, r.handleError(ctx, err, connected.Load())
	}
	return r.handleResponse(ctx, response, facts)
}

// facts returns the properties of the call that the dialect may pass to the backend server.
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

// request returns the HTTP request to the backend server.
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
	r.daemon.dialect.SetRequestHeaders(request.Header, facts)
	return request.WithContext(ctx), nil
}

// setTrailers makes request send the trailers of c, which requires a chunked body.
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

// A trailerReader sets the values of the trailers once the body has been read to its end.
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

// handleError ends a run whose request got no answer. If the request was sent, it may have run.
func (r *localRun) handleError(ctx context.Context, err error, connected bool) *attemptError {
	if !connected {
		r.releaseClaim()
		return r.failedBeforeRun(ctx, err)
	}
	r.finishClaimUnknown()
	kind := r.failureKind(ctx)
	crashedTarget := ""
	if kind == refusal.TargetFailed && r.reportCrash(ctx) {
		crashedTarget = r.announcement.Name
		kind = refusal.TargetCrashed
	}
	r.broken = kind != refusal.Cancelled && kind != refusal.DeadlineExceeded
	r.finish(kind == refusal.Cancelled, crashedTarget)
	refused := refuse(kind, err.Error())
	refused.crashedTarget = crashedTarget
	return refused
}

// reportCrash reports a crash to control if the backend server no longer accepts connections, and returns whether it
// did.
func (r *localRun) reportCrash(ctx context.Context) bool {
	if !probeCrash(ctx, r.announcement.Address) {
		return false
	}
	r.daemon.handleCrash(r.announcement.Name, r.incarnation)
	return true
}

// failedBeforeRun ends a run that failed before its request was sent.
func (r *localRun) failedBeforeRun(ctx context.Context, err error) *attemptError {
	// finish cancels ctx, so it must run after the check of ctx.
	defer r.finish(true, "")
	if ctx.Err() != nil {
		return refuse(refusal.DeadlineUnreachable, "the deadline passed before the request ran")
	}
	var dialError *net.OpError
	if errors.As(err, &dialError) && dialError.Op == "dial" {
		r.daemon.backend.markCrashed(r.incarnation)
	}
	return refuse(refusal.TargetUnreachable, err.Error())
}

// failureKind returns the refusal kind of a run that failed after its request was sent.
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

// handleResponse returns the answer if the dialect can pass it on, and otherwise the refusal for the dialect's verdict.
func (r *localRun) handleResponse(ctx context.Context, response *http.Response, facts dialect.Facts) (*answer, *attemptError) {
	verdict := r.daemon.dialect.ClassifyAnswer(response.StatusCode, response.Header, facts)
	r.observeLoad(time.Now(), response, verdict)
	r.daemon.scarce.recordTurnedAway(verdict == dialect.NoCapacity)
	if verdict == dialect.Valid {
		return r.answer(ctx, response)
	}
	status := "answered " + strconv.Itoa(response.StatusCode)
	_, _ = io.CopyN(io.Discard, response.Body, maxBufferedBodyBytes)
	_ = response.Body.Close()
	switch verdict {
	case dialect.NoCapacity:
		r.refused = true
		return nil, r.giveUp(refuse(refusal.Overloaded, "the backend server has no room: "+status))
	case dialect.Misdirected:
		r.daemon.backend.markCrashed(r.incarnation)
		return nil, r.giveUp(refuse(refusal.TargetUnreachable, "another backend server is there: "+status))
	default:
		r.broken = true
		r.finishClaimUnknown()
		r.finish(false, "")
		return nil, refuse(refusal.TargetFailed, "the answer can't be passed on: "+status)
	}
}

func (r *localRun) finishClaimUnknown() {
	if r.claim != nil {
		r.claim.finishUnknown()
		r.claim = nil
	}
}

// finish ends the run once: it frees the slot and reports the unused allowance to the sender. The end of an
// inconclusive run says nothing about the backend server.
func (r *localRun) finish(inconclusive bool, crashedTarget string) {
	if r.ended.Swap(true) {
		return
	}
	r.call.ended.Store(true)
	if r.cancel != nil {
		r.cancel()
	}
	if r.token != "" {
		r.daemon.callTokens.revoke(r.token)
	} else {
		r.daemon.runningCalls.remove(r.call)
	}
	if r.tracked != nil {
		r.tracked.end(!inconclusive && crashedTarget == "")
	}
	now := time.Now()
	nested, nestedFailed := r.call.nestedTime.at(now)
	r.daemon.admitter.finish(r.call.admissionID, priority.Result{
		Latency: now.Sub(r.admittedAt),
		Failed:  inconclusive || r.serverError || crashedTarget != "",
		Nested:  nested,
		Cause:   r.cause(inconclusive, nestedFailed),
	})
	report := r.daemon.reportOf(r.call, crashedTarget)
	if !inconclusive && !r.serverError && crashedTarget == "" {
		r.daemon.stopTime.durations.Observe(r.call.callee(), now.Sub(r.sentAt))
		report.costs = r.daemon.scarce.recordRun(r.call, now.Sub(r.admittedAt))
	}
	r.done(report)
}

// cause returns why the run failed, for the pace of the backend server. An error after a failed nested call is put down to
// the service below.
func (r *localRun) cause(inconclusive, nestedFailed bool) priority.Cause {
	switch {
	case r.refused:
		return priority.CauseRefused
	case r.broken:
		return priority.CauseBroken
	case inconclusive:
		return priority.CauseAborted
	case r.serverError && nestedFailed:
		return priority.CauseNested
	case r.serverError:
		return priority.CauseErrored
	default:
		return priority.CauseNone
	}
}

// reportOf returns this target's report at the end of c, with the unused allowance, which it takes from c.
func (d *Daemon) reportOf(c *call, crashedTarget string) callReport {
	now := time.Now()
	report := callReport{
		unusedAllowance: c.allowance.Take(c.allowance.Left()),
		level:           d.admitter.level(now),
		downstream:      d.downstream.currentLevel(now, c.route),
		draining:        d.draining(),
		pace:            d.pace.share(),
		crashedTarget:   crashedTarget,
		load:            d.serverLoad(now),
	}
	d.scarce.addRooms(now, c.callee(), &report)
	return report
}

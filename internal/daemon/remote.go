package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"sapphirespread.example/internal/backend/connection"
	"sapphirespread.example/internal/membership/evacuation"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/refusal"
)

const frameDataBytes = 32 << 10

// runRemote runs c at the target of another daemon. It calls done once, when the call ends.
func (d *Daemon) runRemote(ctx context.Context, c *call, to target.Target, done func(callReport)) (*answer, *attemptError) {
	stream, err := d.streams.get(ctx, to.Peer)
	if err != nil {
		done(callReport{unusedAllowance: c.allowance.Left()})
		if ctx.Err() != nil {
			return nil, refuse(refusal.DeadlineUnreachable, err.Error())
		}
		return nil, refuse(refusal.TargetUnreachable, err.Error())
	}
	remote := &remoteCall{streams: d.streams, returnTimes: d.returnTimes, domains: d.domains, address: to.Peer, stream: stream, call: c, done: done}
	remote.stop = context.AfterFunc(ctx, stream.Abort)
	return remote.start(ctx, to)
}

// remoteCall is a call in progress at another daemon. It is the body of the call's answer.
type remoteCall struct {
	streams     *streamPool
	returnTimes *returnTimes
	domains     *evacuation.View
	address     netip.AddrPort
	stream      *peer.Stream
	call        *call
	done        func(callReport)
	stop        func() bool
	ended       bool
	unread      []byte
	received    uint64
	wantedBytes int64 // declared length of the answer, or negative
	hasTrailers bool
	trailer     http.Header
	bodySent    atomic.Bool
}

func (r *remoteCall) start(ctx context.Context, to target.Target) (*answer, *attemptError) {
	frame := &peerpb.Frame{CallId: r.call.id, Body: &peerpb.Frame_Call{Call: r.callHeader(to)}}
	if err := r.stream.Send(frame); err != nil {
		return nil, r.fail(ctx, err)
	}
	if r.call.bodyless() {
		r.bodySent.Store(true)
	} else {
		body, err := r.call.body.open()
		if err != nil {
			r.finish(callReport{}, false)
			return nil, refuse(refusal.TargetFailed, err.Error())
		}
		go r.sendBody(body)
	}
	answerFrame, err := r.receive()
	if err != nil {
		return nil, r.fail(ctx, err)
	}
	return r.decodeFirstFrame(ctx, answerFrame)
}

func (r *remoteCall) callHeader(to target.Target) *peerpb.CallHeader {
	c := r.call
	remaining := c.remaining(time.Now())
	return &peerpb.CallHeader{
		CallId:            c.id,
		WholeId:           c.rootID,
		WholeHash:         c.rootIDHash,
		Target:            to.Name,
		TargetIncarnation: to.Incarnation,
		Service:           c.service,
		Route:             c.route,
		Workspace:         c.workspace,
		WholeWorkspace:    c.rootWorkspace,
		Share:             c.share,
		Shed:              c.shedShare,
		Priority:          int32(c.priority),
		RemainingUs:       remaining.Microseconds(),
		ReturnUs:          r.returnTimes.margin(to.Peer, remaining).Microseconds(),
		Allowance:         int32(c.allowance.Left()),
		Method:            c.head.method,
		Host:              c.head.host,
		Path:              c.head.path,
		Query:             []byte(c.head.query),
		Headers:           message.EncodeHeader(c.head.header),
		ContentLength:     c.head.contentLength,
		IdempotencyKey:    c.idempotencyKey,
		Fingerprint:       c.fingerprint[:],
		RequestHash:       c.claimHash(),
		Depth:             int32(c.depth),
		Repeatable:        c.repeatable,
		Nested:            c.nested,
		Repeat:            c.repeat,
		ObjectiveUs:       c.objective.Microseconds(),
		CallerService:     c.callerService,
		TrailerNames:      c.head.trailerNames,
		OutOfUseVersion:   r.domains.Version(),
	}
}

// sendBody sends the request body in frames and aborts the stream if reading the body fails.
func (r *remoteCall) sendBody(body io.Reader) {
	buffer := make([]byte, frameDataBytes)
	var sent uint64
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			sent += uint64(n)
			if r.send(&peerpb.Frame_Data{Data: buffer[:n]}) != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.stream.Abort()
			return
		}
	}
	end := &peerpb.End{Length: sent, Trailers: message.EncodeHeader(r.call.body.trailer())}
	if r.stream.Send(&peerpb.Frame{CallId: r.call.id, Body: &peerpb.Frame_End{End: end}}) == nil {
		r.bodySent.Store(true)
	}
}

func (r *remoteCall) send(data *peerpb.Frame_Data) error {
	return r.stream.Send(&peerpb.Frame{CallId: r.call.id, Body: data})
}

var (
	errForeignFrame = errors.New("frame of another call")
	errNoStatus     = errors.New("answer without a final status")
)

// isFinalStatus reports whether status is one that ends an HTTP exchange.
func isFinalStatus(status int32) bool {
	return status >= http.StatusOK && status <= connection.MaxStatus
}

func (r *remoteCall) receive() (*peerpb.Frame, error) {
	frame := &peerpb.Frame{}
	if err := r.stream.Receive(frame); err != nil {
		return nil, err
	}
	if frame.GetCallId() != r.call.id {
		return nil, errForeignFrame
	}
	return frame, nil
}

// decodeFirstFrame converts the first frame of the response to an answer or an error.
func (r *remoteCall) decodeFirstFrame(ctx context.Context, frame *peerpb.Frame) (*answer, *attemptError) {
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_Answer:
		return r.beginAnswer(ctx, body.Answer)
	case *peerpb.Frame_Refusal:
		return nil, r.decodeRefusal(body.Refusal)
	case *peerpb.Frame_Abort:
		r.finish(decodeReport(body.Abort.GetReport(), time.Now()), true)
		return nil, refuse(refusal.TargetFailed, body.Abort.GetKind())
	default:
		return nil, r.fail(ctx, errors.New("answer starts with a frame of another kind"))
	}
}

// beginAnswer returns the answer once its body has begun or ended. Nothing has been sent to the caller before, so that a
// break up to then is a failed attempt.
func (r *remoteCall) beginAnswer(ctx context.Context, header *peerpb.AnswerHeader) (*answer, *attemptError) {
	if !isFinalStatus(header.GetStatus()) {
		return nil, r.fail(ctx, errNoStatus)
	}
	r.wantedBytes = header.GetContentLength()
	r.hasTrailers = len(header.GetTrailerNames()) > 0
	if err := r.receiveBody(); err != nil {
		return nil, refuse(r.failureKind(ctx), err.Error())
	}
	return &answer{
		status:        int(header.GetStatus()),
		header:        message.DecodeHeader(header.GetHeaders()),
		contentLength: header.GetContentLength(),
		trailerNames:  header.GetTrailerNames(),
		body:          r,
	}, nil
}

func (r *remoteCall) decodeRefusal(encoded *peerpb.Refusal) *attemptError {
	report := decodeReport(encoded.GetReport(), time.Now())
	r.finish(report, true)
	refused := refuse(refusal.Kind(encoded.GetKind()), encoded.GetDetail())
	refused.notRun = refused.notRun && encoded.GetNotRun()
	refused.retryAfter = time.Duration(encoded.GetRetryAfterUs()) * time.Microsecond
	refused.crashedTarget = report.crashedTarget
	return refused
}

// fail ends a call that received no answer. The retry allowance that was sent with the call is not returned.
func (r *remoteCall) fail(ctx context.Context, err error) *attemptError {
	r.finish(callReport{}, false)
	return refuse(r.failureKind(ctx), err.Error())
}

// failureKind returns the refusal kind of a call that failed after it was sent.
func (r *remoteCall) failureKind(ctx context.Context) refusal.Kind {
	switch {
	case !time.Now().Before(r.call.deadline):
		return refusal.DeadlineExceeded
	case ctx.Err() != nil:
		return refusal.Cancelled
	default:
		return refusal.TargetFailed
	}
}

// finish passes on the report and reuses the stream if the exchange is complete in both directions; later calls have no
// effect.
func (r *remoteCall) finish(report callReport, clean bool) {
	if r.ended {
		return
	}
	r.ended = true
	if r.stop() && clean && r.bodySent.Load() {
		r.streams.put(r.address, r.stream)
	} else {
		r.stream.Abort()
	}
	r.done(report)
}

// Read reads the answer body and returns io.EOF only if the answer is complete.
func (r *remoteCall) Read(buffer []byte) (int, error) {
	for len(r.unread) == 0 {
		if r.ended {
			return 0, io.EOF
		}
		if err := r.receiveBody(); err != nil {
			return 0, err
		}
	}
	n := copy(buffer, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// receiveBody receives the next frame of the answer body.
func (r *remoteCall) receiveBody() error {
	frame, err := r.receive()
	if err != nil {
		r.finish(callReport{}, false)
		if r.hasWholeBody() {
			return nil
		}
		return refuse(refusal.AnswerCut, err.Error())
	}
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_Data:
		r.unread = body.Data
		r.received += uint64(len(r.unread))
		return nil
	case *peerpb.Frame_End:
		r.trailer = message.DecodeHeader(body.End.GetTrailers())
		r.finish(decodeReport(body.End.GetReport(), time.Now()), true)
		if body.End.GetLength() != r.received {
			return refuse(refusal.AnswerCut, "the answer has another length than its sender counted")
		}
		return nil
	default:
		r.finish(decodeReport(frame.GetAbort().GetReport(), time.Now()), frame.GetAbort() != nil)
		return refuse(refusal.AnswerCut, "the target aborted the answer")
	}
}

// hasWholeBody reports whether all bytes of an answer of declared length were received, so that only the confirmation of
// the target's daemon is missing.
func (r *remoteCall) hasWholeBody() bool {
	return r.wantedBytes > 0 && r.received == uint64(r.wantedBytes) && !r.hasTrailers
}

// Close ends the call and cancels it at the target if it still runs.
func (r *remoteCall) Close() error {
	r.finish(callReport{}, false)
	return nil
}

// Trailer returns the trailers of the answer, which are complete after Read has returned io.EOF.
func (r *remoteCall) Trailer() http.Header {
	return r.trailer
}

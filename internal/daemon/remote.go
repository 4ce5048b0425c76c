package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/refusal"
)

const frameDataBytes = 32 << 10

// runRemote runs c at another daemon's target; done is called once, when the call ends.
func (d *Daemon) runRemote(ctx context.Context, c *call, to target.Target, done func(callReport)) (*answer, *attemptError) {
	stream, err := d.streams.get(ctx, to.Peer)
	if err != nil {
		done(callReport{unused: c.allowance.Left()})
		if ctx.Err() != nil {
			return nil, refuse(refusal.DeadlineUnreachable, err.Error())
		}
		return nil, refuse(refusal.TargetUnreachable, err.Error())
	}
	remote := &remoteCall{streams: d.streams, address: to.Peer, stream: stream, call: c, done: done}
	remote.stop = context.AfterFunc(ctx, stream.Abort)
	return remote.start(ctx, to)
}

// A remoteCall is a call under way at another daemon.
type remoteCall struct {
	streams  *callStreams
	address  netip.AddrPort
	stream   *peer.Stream
	call     *call
	done     func(callReport)
	stop     func() bool
	ended    bool
	data     []byte
	received uint64
	trailer  http.Header
	bodySent atomic.Bool
}

func (r *remoteCall) start(ctx context.Context, to target.Target) (*answer, *attemptError) {
	header := &peerpb.Frame{CallId: r.call.id, Body: &peerpb.Frame_Call{Call: r.header(to)}}
	if err := r.stream.Send(header); err != nil {
		return nil, r.lost(ctx, err)
	}
	if r.call.bodyless() {
		r.bodySent.Store(true)
	} else {
		body, err := r.call.body.open()
		if err != nil {
			r.end(callReport{}, false)
			return nil, refuse(refusal.TargetFailed, err.Error())
		}
		go r.sendBody(body)
	}
	frame, err := r.receive()
	if err != nil {
		return nil, r.lost(ctx, err)
	}
	return r.first(ctx, frame)
}

func (r *remoteCall) header(to target.Target) *peerpb.CallHeader {
	c := r.call
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
		RemainingUs:       c.remaining(time.Now()).Microseconds(),
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
		ObjectiveUs:       c.objective.Microseconds(),
		CallerService:     c.callerService,
		TrailerNames:      c.head.trailerNames,
	}
}

// sendBody sends the request's body in frames; a body that breaks off aborts the stream.
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

var errCrossedAnswer = errors.New("frame of another call")

func (r *remoteCall) receive() (*peerpb.Frame, error) {
	frame := &peerpb.Frame{}
	if err := r.stream.Receive(frame); err != nil {
		return nil, err
	}
	if frame.GetCallId() != r.call.id {
		return nil, errCrossedAnswer
	}
	return frame, nil
}

// first turns the first frame of the answer into the answer or the refusal.
func (r *remoteCall) first(ctx context.Context, frame *peerpb.Frame) (*answer, *attemptError) {
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_Answer:
		return r.answer(body.Answer), nil
	case *peerpb.Frame_Refusal:
		return nil, r.refused(body.Refusal)
	case *peerpb.Frame_Abort:
		r.end(decodeReport(body.Abort.GetReport(), time.Now()), true)
		return nil, refuse(refusal.TargetFailed, body.Abort.GetKind())
	default:
		return nil, r.lost(ctx, errors.New("answer starts with a frame of another kind"))
	}
}

func (r *remoteCall) answer(head *peerpb.AnswerHeader) *answer {
	return &answer{
		status:        int(head.GetStatus()),
		header:        message.DecodeHeader(head.GetHeaders()),
		contentLength: head.GetContentLength(),
		trailerNames:  head.GetTrailerNames(),
		body:          r,
	}
}

func (r *remoteCall) refused(said *peerpb.Refusal) *attemptError {
	report := decodeReport(said.GetReport(), time.Now())
	r.end(report, true)
	refused := refuse(refusal.Kind(said.GetKind()), said.GetDetail())
	refused.notRun = refused.notRun && said.GetNotRun()
	refused.retryAfter = time.Duration(said.GetRetryAfterUs()) * time.Microsecond
	refused.crashedTarget = report.crashed
	return refused
}

// lost ends a call whose answer did not come; the part of the allowance that it had is lost.
func (r *remoteCall) lost(ctx context.Context, err error) *attemptError {
	r.end(callReport{}, false)
	switch {
	case !time.Now().Before(r.call.deadline):
		return refuse(refusal.DeadlineExceeded, err.Error())
	case ctx.Err() != nil:
		return refuse(refusal.Cancelled, err.Error())
	default:
		return refuse(refusal.TargetFailed, err.Error())
	}
}

// end passes on the report, and keeps the stream where the exchange is over on both sides; only the
// first call counts.
func (r *remoteCall) end(report callReport, clean bool) {
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

// Read reads the answer's body; it returns io.EOF only after the target said that the answer is whole.
func (r *remoteCall) Read(buffer []byte) (int, error) {
	for len(r.data) == 0 {
		if r.ended {
			return 0, io.EOF
		}
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	n := copy(buffer, r.data)
	r.data = r.data[n:]
	return n, nil
}

// next takes the next frame of the answer.
func (r *remoteCall) next() error {
	frame, err := r.receive()
	if err != nil {
		r.end(callReport{}, false)
		return refuse(refusal.AnswerCut, err.Error())
	}
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_Data:
		r.data = body.Data
		r.received += uint64(len(r.data))
		return nil
	case *peerpb.Frame_End:
		r.trailer = message.DecodeHeader(body.End.GetTrailers())
		r.end(decodeReport(body.End.GetReport(), time.Now()), true)
		if body.End.GetLength() != r.received {
			return refuse(refusal.AnswerCut, "the answer has another length than its sender counted")
		}
		return nil
	default:
		r.end(decodeReport(frame.GetAbort().GetReport(), time.Now()), frame.GetAbort() != nil)
		return refuse(refusal.AnswerCut, "the target aborted the answer")
	}
}

// Close ends the call and cancels it where it runs.
func (r *remoteCall) Close() error {
	r.end(callReport{}, false)
	return nil
}

// Trailer returns the answer's trailers.
func (r *remoteCall) Trailer() http.Header {
	return r.trailer
}

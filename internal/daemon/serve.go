package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/refusal"
	"sapphirespread.example/retry"
)

// serveCalls serves the calls that another daemon sends to this daemon's backend server on one stream.
func (d *Daemon) serveCalls(ctx context.Context, _ peer.Identity, stream *peer.Stream) {
	reader := &callReader{daemon: d, stream: stream}
	reader.run(ctx)
}

func decodeCall(head *peerpb.CallHeader, now time.Time) *call {
	c := &call{
		id:             head.GetCallId(),
		rootID:         head.GetWholeId(),
		rootIDHash:     head.GetWholeHash(),
		workspace:      head.GetWorkspace(),
		rootWorkspace:  head.GetWholeWorkspace(),
		share:          head.GetShare(),
		shedShare:      head.GetShed(),
		route:          head.GetRoute(),
		service:        head.GetService(),
		priority:       int(head.GetPriority()),
		deadline:       now.Add(time.Duration(head.GetRemainingUs()) * time.Microsecond),
		objective:      time.Duration(head.GetObjectiveUs()) * time.Microsecond,
		repeatable:     head.GetRepeatable(),
		needsClaim:     !head.GetRepeatable() && head.GetIdempotencyKey() != "",
		nested:         head.GetNested(),
		callerService:  head.GetCallerService(),
		depth:          int(head.GetDepth()),
		allowance:      retry.NewAllowance(int(head.GetAllowance())),
		idempotencyKey: head.GetIdempotencyKey(),
		head: requestHead{
			method:        head.GetMethod(),
			host:          head.GetHost(),
			path:          head.GetPath(),
			query:         string(head.GetQuery()),
			header:        message.DecodeHeader(head.GetHeaders()),
			contentLength: head.GetContentLength(),
			trailerNames:  head.GetTrailerNames(),
		},
	}
	copy(c.requestHash[:], head.GetRequestHash())
	c.fingerprint = message.DecodeFingerprint(head.GetFingerprint())
	return c
}

// A servedCall is a call of another daemon under way at this one.
type servedCall struct {
	daemon   *Daemon
	stream   *peer.Stream
	call     *call
	report   callReport
	target   string
	starts   uint64
	body     *bodyQueue
	trailer  atomic.Pointer[http.Header]
	received uint64
	cancel   context.CancelFunc
	done     chan struct{}
}

// newServedCall returns the call that head starts.
func newServedCall(d *Daemon, stream *peer.Stream, head *peerpb.CallHeader) *servedCall {
	s := &servedCall{
		daemon: d,
		stream: stream,
		call:   decodeCall(head, time.Now()),
		target: head.GetTarget(),
		starts: head.GetTargetIncarnation(),
		done:   make(chan struct{}),
	}
	if s.call.bodyless() {
		s.call.body = newBufferedBody(nil, nil)
		return s
	}
	s.body = newBodyQueue()
	s.call.body = newStreamedBody(s.body, s.trailers)
	return s
}

// trailers returns the request's trailers, which are complete once the body was read to its end.
func (s *servedCall) trailers() http.Header {
	trailer := s.trailer.Load()
	if trailer == nil {
		return nil
	}
	return *trailer
}

// run runs the call and answers it.
func (s *servedCall) run(ctx context.Context) {
	s.daemon.inFlight.add()
	defer s.daemon.inFlight.done()
	defer close(s.done)
	defer s.cancel()
	if s.body != nil {
		defer s.body.end(io.ErrClosedPipe)
	}
	done := func(report callReport) { s.report = report }
	answer, refused := s.daemon.runLocal(ctx, s.call, s.target, s.starts, done)
	if refused != nil {
		s.daemon.logTargetRefusal(s.call, s.target, refused)
		s.sendRefusal(refused)
		return
	}
	s.sendAnswer(answer)
}

func (s *servedCall) sendRefusal(refused *attemptError) {
	said := &peerpb.Refusal{
		Kind:         string(refused.kind),
		Detail:       refused.detail,
		RetryAfterUs: refused.retryAfter.Microseconds(),
		NotRun:       refused.notRun,
		Report:       encodeReport(s.report, time.Now()),
	}
	_ = s.stream.Send(&peerpb.Frame{CallId: s.call.id, Body: &peerpb.Frame_Refusal{Refusal: said}})
}

// sendAnswer streams the answer and ends it with End only where it is whole.
func (s *servedCall) sendAnswer(a *answer) {
	defer func() { _ = a.body.Close() }()
	head := &peerpb.AnswerHeader{
		Status:        int32(a.status),
		Headers:       message.EncodeHeader(a.header),
		ContentLength: a.contentLength,
		TrailerNames:  a.trailerNames,
	}
	short := a.contentLength >= 0 && a.contentLength <= frameDataBytes
	if s.put(&peerpb.Frame{CallId: s.call.id, Body: &peerpb.Frame_Answer{Answer: head}}, short) != nil {
		return
	}
	sent, err := s.sendBody(a.body, short)
	if err != nil {
		_ = a.body.Close()
		abort := &peerpb.Abort{Kind: string(refusal.AnswerCut), Report: encodeReport(s.report, time.Now())}
		_ = s.stream.Send(&peerpb.Frame{CallId: s.call.id, Body: &peerpb.Frame_Abort{Abort: abort}})
		return
	}
	end := &peerpb.End{
		Length:   sent,
		Trailers: message.EncodeHeader(a.body.Trailer()),
		Report:   encodeReport(s.report, time.Now()),
	}
	_ = s.stream.Send(&peerpb.Frame{CallId: s.call.id, Body: &peerpb.Frame_End{End: end}})
}

// put sends a frame, or keeps it for the next one where the whole answer is short.
func (s *servedCall) put(frame *peerpb.Frame, short bool) error {
	if short {
		return s.stream.Buffer(frame)
	}
	return s.stream.Send(frame)
}

func (s *servedCall) sendBody(body io.Reader, short bool) (uint64, error) {
	buffer := takeBuffer()
	defer putBuffer(buffer)
	var sent uint64
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			sent += uint64(n)
			frame := &peerpb.Frame{CallId: s.call.id, Body: &peerpb.Frame_Data{Data: (*buffer)[:n]}}
			if sendErr := s.put(frame, short); sendErr != nil {
				return sent, sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
	}
}

// nextCallID returns an id that no other call of this process has.
func (d *Daemon) nextCallID() uint64 {
	return d.callIDs.Add(1)
}

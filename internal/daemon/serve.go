package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/refusal"
	"sapphirespread.example/retry"
)

// serveCalls serves the calls that another daemon sends on stream to this daemon's backend server.
func (d *Daemon) serveCalls(ctx context.Context, _ peer.Identity, stream *peer.Stream) {
	reader := &callReader{daemon: d, stream: stream}
	reader.run(ctx)
}

func decodeCall(header *peerpb.CallHeader, now time.Time) *call {
	c := &call{
		id:             header.GetCallId(),
		rootID:         header.GetWholeId(),
		rootIDHash:     header.GetWholeHash(),
		workspace:      header.GetWorkspace(),
		rootWorkspace:  header.GetWholeWorkspace(),
		share:          header.GetShare(),
		shedShare:      header.GetShed(),
		route:          header.GetRoute(),
		service:        header.GetService(),
		priority:       int(header.GetPriority()),
		deadline:       now.Add(time.Duration(header.GetRemainingUs()) * time.Microsecond),
		returnMargin:   time.Duration(header.GetReturnUs()) * time.Microsecond,
		objective:      time.Duration(header.GetObjectiveUs()) * time.Microsecond,
		repeatable:     header.GetRepeatable(),
		needsClaim:     !header.GetRepeatable() && header.GetIdempotencyKey() != "",
		nested:         header.GetNested(),
		repeat:         header.GetRepeat(),
		callerService:  header.GetCallerService(),
		depth:          int(header.GetDepth()),
		allowance:      retry.NewAllowance(int(header.GetAllowance())),
		idempotencyKey: header.GetIdempotencyKey(),
		head: requestHead{
			method:        header.GetMethod(),
			host:          header.GetHost(),
			path:          header.GetPath(),
			query:         string(header.GetQuery()),
			header:        message.DecodeHeader(header.GetHeaders()),
			contentLength: header.GetContentLength(),
			trailerNames:  header.GetTrailerNames(),
		},
	}
	copy(c.requestHash[:], header.GetRequestHash())
	c.fingerprint = message.DecodeFingerprint(header.GetFingerprint())
	return c
}

// servedCall is a call of another daemon in progress at this daemon.
type servedCall struct {
	daemon            *Daemon
	stream            *peer.Stream
	call              *call
	receivedAt        time.Time
	report            callReport
	target            string
	targetIncarnation uint64
	knownDomains      uint64 // the sender's version of the failure domains out of use
	body              *bodyQueue
	trailer           atomic.Pointer[http.Header]
	received          uint64
	cancel            context.CancelFunc
	done              chan struct{}
}

// newServedCall returns the call described by header, with a body queue unless the call has no body.
func newServedCall(d *Daemon, stream *peer.Stream, header *peerpb.CallHeader) *servedCall {
	now := time.Now()
	s := &servedCall{
		daemon:            d,
		stream:            stream,
		call:              decodeCall(header, now),
		receivedAt:        now,
		target:            header.GetTarget(),
		targetIncarnation: header.GetTargetIncarnation(),
		knownDomains:      header.GetOutOfUseVersion(),
		done:              make(chan struct{}),
	}
	if s.call.bodyless() {
		s.call.body = newBufferedBody(nil, nil)
		return s
	}
	s.body = newBodyQueue()
	s.call.body = newStreamedBody(s.body, s.trailers)
	return s
}

// trailers returns the request's trailers, or nil until the end of the body has been received.
func (s *servedCall) trailers() http.Header {
	trailer := s.trailer.Load()
	if trailer == nil {
		return nil
	}
	return *trailer
}

// run executes the call and sends its answer or refusal.
func (s *servedCall) run(ctx context.Context) {
	s.daemon.inFlight.add()
	defer s.daemon.inFlight.done()
	defer close(s.done)
	defer s.recoverPanic()
	defer s.cancel()
	if s.body != nil {
		defer s.body.close(io.ErrClosedPipe)
	}
	done := func(report callReport) { s.report = report }
	answer, refused := s.daemon.runLocal(ctx, s.call, s.target, s.targetIncarnation, done)
	if refused != nil {
		s.daemon.logTargetRefusal(s.call, s.target, refused)
		s.sendRefusal(refused)
		return
	}
	s.sendAnswer(answer)
}

// recoverPanic ends a call whose handling panicked without an answer, so that one call can't end the process.
func (s *servedCall) recoverPanic() {
	if cause := recover(); cause != nil {
		s.daemon.logger.Error().Any("panic", cause).Bytes("stack", debug.Stack()).Str("id", s.call.rootID).Msg("daemon: handling a call failed")
		s.stream.Abort()
	}
}

func (s *servedCall) sendRefusal(refused *attemptError) {
	encoded := &peerpb.Refusal{
		Kind:         string(refused.kind),
		Detail:       refused.detail,
		RetryAfterUs: refused.retryAfter.Microseconds(),
		NotRun:       refused.notRun,
		Report:       s.encodeReport(),
	}
	_ = s.stream.Send(&peerpb.Frame{CallId: s.call.id, Body: &peerpb.Frame_Refusal{Refusal: encoded}})
}

// encodeReport encodes the report at the end of the call, with the time that the call has taken here.
func (s *servedCall) encodeReport() *peerpb.CallReport {
	now := time.Now()
	s.report.handlingTime = now.Sub(s.receivedAt)
	s.report.outOfUse = s.daemon.newerDomains(s.knownDomains)
	return encodeReport(s.report, now)
}

// sendAnswer streams the answer and sends an End frame only if the answer is complete, otherwise an Abort frame.
func (s *servedCall) sendAnswer(a *answer) {
	defer func() { _ = a.body.Close() }()
	header := &peerpb.AnswerHeader{
		Status:        int32(a.status),
		Headers:       message.EncodeHeader(a.header),
		ContentLength: a.contentLength,
		TrailerNames:  a.trailerNames,
	}
	short := a.contentLength >= 0 && a.contentLength <= frameDataBytes
	if s.sendFrame(&peerpb.Frame{CallId: s.call.id, Body: &peerpb.Frame_Answer{Answer: header}}, short) != nil {
		return
	}
	sent, err := s.sendBody(a.body, short)
	if err != nil {
		_ = a.body.Close()
		abort := &peerpb.Abort{Kind: string(refusal.AnswerCut), Report: s.encodeReport()}
		_ = s.stream.Send(&peerpb.Frame{CallId: s.call.id, Body: &peerpb.Frame_Abort{Abort: abort}})
		return
	}
	end := &peerpb.End{
		Length:   sent,
		Trailers: message.EncodeHeader(a.body.Trailer()),
		Report:   s.encodeReport(),
	}
	_ = s.stream.Send(&peerpb.Frame{CallId: s.call.id, Body: &peerpb.Frame_End{End: end}})
}

// sendFrame sends a frame, or buffers it for a write together with the next frame if the whole answer is short.
func (s *servedCall) sendFrame(frame *peerpb.Frame, short bool) error {
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
			if sendErr := s.sendFrame(frame, short); sendErr != nil {
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

// nextCallID returns an ID that is unique among the calls of this process.
func (d *Daemon) nextCallID() uint64 {
	return d.callIDs.Add(1)
}

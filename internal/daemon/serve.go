package daemon

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"time"

	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/quarantine"
	"sapphirespread.example/refusal"
	"sapphirespread.example/retry"
)

// serveCall serves a call that another daemon sends to this daemon's backend server.
func (d *Daemon) serveCall(ctx context.Context, _ peer.Identity, stream *peer.Stream) {
	var head peerpb.CallHeader
	if err := stream.Receive(&head); err != nil {
		return
	}
	d.inFlight.add()
	defer d.inFlight.done()
	served := &servedCall{daemon: d, stream: stream, call: decodeCall(&head, time.Now())}
	served.run(ctx, &head)
}

func decodeCall(head *peerpb.CallHeader, now time.Time) *call {
	c := &call{
		id:             head.GetCallId(),
		wholeID:        head.GetWholeId(),
		workspace:      head.GetWorkspace(),
		share:          head.GetShare(),
		route:          head.GetRoute(),
		service:        head.GetService(),
		priority:       int(head.GetPriority()),
		deadline:       now.Add(time.Duration(head.GetRemainingUs()) * time.Microsecond),
		repeatable:     head.GetRepeatable(),
		depth:          int(head.GetDepth()),
		attempt:        int(head.GetAttempt()),
		allowance:      retry.NewAllowance(int(head.GetAllowance())),
		idempotencyKey: head.GetIdempotencyKey(),
		head: requestHead{
			method:        head.GetMethod(),
			host:          head.GetHost(),
			path:          head.GetPath(),
			query:         head.GetQuery(),
			header:        decodeHeader(head.GetHeaders()),
			contentLength: head.GetContentLength(),
			trailerNames:  head.GetTrailerNames(),
		},
	}
	copy(c.requestHash[:], head.GetRequestHash())
	c.fingerprint = decodeFingerprint(head.GetFingerprint())
	return c
}

func decodeFingerprint(encoded []byte) quarantine.Fingerprint {
	var fingerprint quarantine.Fingerprint
	copy(fingerprint[:], encoded)
	return fingerprint
}

// A servedCall is a call of another daemon under way at this one.
type servedCall struct {
	daemon *Daemon
	stream *peer.Stream
	call   *call
	report callReport
}

func (s *servedCall) run(ctx context.Context, head *peerpb.CallHeader) {
	ctx, cancel := context.WithDeadline(ctx, s.call.deadline)
	defer cancel()
	reader := &frameReader{stream: s.stream, callID: s.call.id}
	if head.GetContentLength() == 0 && len(s.call.head.trailerNames) == 0 {
		s.call.body = newKeptBody(nil, nil)
		go reader.watch(cancel)
	} else {
		bodyReader, bodyWriter := io.Pipe()
		defer func() { _ = bodyReader.Close() }()
		s.call.body = newStreamedBody(bodyReader, reader.trailers)
		go reader.pump(bodyWriter, cancel)
	}
	done := func(report callReport) { s.report = report }
	answer, refused := s.daemon.runLocal(ctx, s.call, head.GetTarget(), head.GetTargetIncarnation(), done)
	if refused != nil {
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
		Headers:       encodeHeader(a.header),
		ContentLength: a.contentLength,
		TrailerNames:  a.trailerNames,
	}
	if s.stream.Send(&peerpb.Frame{CallId: s.call.id, Body: &peerpb.Frame_Answer{Answer: head}}) != nil {
		return
	}
	sent, err := s.sendBody(a.body)
	if err != nil {
		_ = a.body.Close()
		abort := &peerpb.Abort{Kind: string(refusal.AnswerCut), Report: encodeReport(s.report, time.Now())}
		_ = s.stream.Send(&peerpb.Frame{CallId: s.call.id, Body: &peerpb.Frame_Abort{Abort: abort}})
		return
	}
	end := &peerpb.End{
		Length:   sent,
		Trailers: encodeHeader(a.body.Trailer()),
		Report:   encodeReport(s.report, time.Now()),
	}
	_ = s.stream.Send(&peerpb.Frame{CallId: s.call.id, Body: &peerpb.Frame_End{End: end}})
}

func (s *servedCall) sendBody(body io.Reader) (uint64, error) {
	buffer := takeBuffer()
	defer putBuffer(buffer)
	var sent uint64
	for {
		n, err := body.Read(*buffer)
		if n > 0 {
			sent += uint64(n)
			frame := &peerpb.Frame{CallId: s.call.id, Body: &peerpb.Frame_Data{Data: (*buffer)[:n]}}
			if sendErr := s.stream.Send(frame); sendErr != nil {
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

// fingerprintText returns the form in which a fingerprint is shown.
func fingerprintText(fingerprint quarantine.Fingerprint) string {
	return hex.EncodeToString(fingerprint[:])
}

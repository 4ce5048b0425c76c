package daemon

import (
	"context"
	"errors"
	"io"

	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
)

var errRequestCut = errors.New("request cut short")

// A callReader reads the frames of one call after another from the daemon that sends them.
type callReader struct {
	daemon  *Daemon
	stream  *peer.Stream
	current *servedCall
}

// run reads until the stream ends, which cancels the call under way.
func (r *callReader) run(ctx context.Context) {
	defer r.cancelCall()
	for {
		frame := &peerpb.Frame{}
		if r.stream.Receive(frame) != nil {
			return
		}
		if header := frame.GetCall(); header != nil {
			r.startCall(ctx, header)
			continue
		}
		if r.current == nil || !r.current.receiveBody(frame) {
			return
		}
	}
}

// begin starts the call of head once the one before it has returned.
func (r *callReader) startCall(ctx context.Context, header *peerpb.CallHeader) {
	if r.current != nil {
		<-r.current.done
	}
	served := newServedCall(r.daemon, r.stream, header)
	ctx, served.cancel = context.WithDeadline(ctx, served.call.deadline)
	r.current = served
	go served.run(ctx)
}

// finish cancels the call under way and waits for it.
func (r *callReader) cancelCall() {
	if r.current == nil {
		return
	}
	r.current.abortBody(errRequestCut)
	r.current.cancel()
	<-r.current.done
}

// take takes a frame of the request's body and reports whether the stream can go on.
func (s *servedCall) receiveBody(frame *peerpb.Frame) bool {
	if frame.GetCallId() != s.call.id || s.body == nil {
		return false
	}
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_Data:
		s.received += uint64(len(body.Data))
		// What the backend server does not want is dropped.
		_, _ = s.body.Write(body.Data)
		return true
	case *peerpb.Frame_End:
		s.endBody(body.End)
		return true
	default:
		return false
	}
}

// end ends the request's body, as whole where its length is what was received.
func (s *servedCall) endBody(end *peerpb.End) {
	if end.GetLength() != s.received {
		s.abortBody(errRequestCut)
		return
	}
	trailer := message.DecodeHeader(end.GetTrailers())
	s.trailer.Store(&trailer)
	s.body.close(io.EOF)
}

// cut breaks the request's body off.
func (s *servedCall) abortBody(err error) {
	if s.body != nil {
		s.body.close(err)
	}
}

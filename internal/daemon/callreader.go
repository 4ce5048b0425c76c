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
	defer r.finish()
	for {
		frame := &peerpb.Frame{}
		if r.stream.Receive(frame) != nil {
			return
		}
		if head := frame.GetCall(); head != nil {
			r.begin(ctx, head)
			continue
		}
		if r.current == nil || !r.current.take(frame) {
			return
		}
	}
}

// begin starts the call of head once the one before it has returned.
func (r *callReader) begin(ctx context.Context, head *peerpb.CallHeader) {
	if r.current != nil {
		<-r.current.done
	}
	served := newServedCall(r.daemon, r.stream, head)
	ctx, served.cancel = context.WithDeadline(ctx, served.call.deadline)
	r.current = served
	go served.run(ctx)
}

// finish cancels the call under way and waits for it.
func (r *callReader) finish() {
	if r.current == nil {
		return
	}
	r.current.cut(errRequestCut)
	r.current.cancel()
	<-r.current.done
}

// take takes a frame of the request's body and reports whether the stream can go on.
func (s *servedCall) take(frame *peerpb.Frame) bool {
	if frame.GetCallId() != s.call.id || s.body == nil {
		return false
	}
	switch part := frame.GetBody().(type) {
	case *peerpb.Frame_Data:
		s.received += uint64(len(part.Data))
		// What the backend server does not want is dropped.
		_, _ = s.body.Write(part.Data)
		return true
	case *peerpb.Frame_End:
		s.end(part.End)
		return true
	default:
		return false
	}
}

// end ends the request's body, as whole where its length is what was received.
func (s *servedCall) end(said *peerpb.End) {
	if said.GetLength() != s.received {
		s.cut(errRequestCut)
		return
	}
	trailer := message.DecodeHeader(said.GetTrailers())
	s.trailer.Store(&trailer)
	s.body.end(io.EOF)
}

// cut breaks the request's body off.
func (s *servedCall) cut(err error) {
	if s.body != nil {
		s.body.end(err)
	}
}

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

// callReader reads the sequential calls that another daemon sends on one stream.
type callReader struct {
	daemon  *Daemon
	stream  *peer.Stream
	current *servedCall
}

// run reads frames until the stream ends or a frame is invalid, then cancels the current call and waits for it.
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

// startCall starts the call described by header after the previous call has returned.
func (r *callReader) startCall(ctx context.Context, header *peerpb.CallHeader) {
	if r.current != nil {
		<-r.current.done
	}
	served := newServedCall(r.daemon, r.stream, header)
	ctx, served.cancel = context.WithDeadline(ctx, served.call.deadline)
	r.current = served
	go served.run(ctx)
}

// cancelCall cancels the current call, if any, and waits for it.
func (r *callReader) cancelCall() {
	if r.current == nil {
		return
	}
	r.current.abortBody(errRequestCut)
	r.current.cancel()
	<-r.current.done
}

// receiveBody processes a frame of the request body and reports whether the frame was valid.
func (s *servedCall) receiveBody(frame *peerpb.Frame) bool {
	if frame.GetCallId() != s.call.id || s.body == nil {
		return false
	}
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_Data:
		s.received += uint64(len(body.Data))
		// The queue discards data that arrives after the backend server stopped reading.
		_, _ = s.body.Write(body.Data)
		return true
	case *peerpb.Frame_End:
		s.endBody(body.End)
		return true
	default:
		return false
	}
}

// endBody ends the request body, which is complete only if its declared length matches the bytes received.
func (s *servedCall) endBody(end *peerpb.End) {
	if end.GetLength() != s.received {
		s.abortBody(errRequestCut)
		return
	}
	trailer := message.DecodeHeader(end.GetTrailers())
	s.trailer.Store(&trailer)
	s.body.close(io.EOF)
}

// abortBody ends the request body with err.
func (s *servedCall) abortBody(err error) {
	if s.body != nil {
		s.body.close(err)
	}
}

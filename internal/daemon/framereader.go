package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
)

var errRequestCut = errors.New("request cut short")

// A frameReader reads the frames of a request from the daemon that sends it.
type frameReader struct {
	stream  *peer.Stream
	callID  uint64
	trailer atomic.Pointer[http.Header]
}

// trailers returns the request's trailers, which are complete once the body was read to its end.
func (f *frameReader) trailers() http.Header {
	trailer := f.trailer.Load()
	if trailer == nil {
		return nil
	}
	return *trailer
}

// watch cancels the call when the sender closes the stream.
func (f *frameReader) watch(cancel context.CancelFunc) {
	defer cancel()
	var frame peerpb.Frame
	_ = f.stream.Receive(&frame)
}

// pump writes the request's body to body, then cancels the call when the sender closes the stream.
func (f *frameReader) pump(body *io.PipeWriter, cancel context.CancelFunc) {
	err := f.copy(body)
	_ = body.CloseWithError(err)
	if err == nil {
		f.watch(cancel)
		return
	}
	cancel()
}

// copy returns nil where the body came whole; what the backend server does not want is dropped.
func (f *frameReader) copy(body io.Writer) error {
	var received uint64
	for {
		var frame peerpb.Frame
		if err := f.stream.Receive(&frame); err != nil {
			return errRequestCut
		}
		if frame.GetCallId() != f.callID {
			return errCrossedAnswer
		}
		switch part := frame.GetBody().(type) {
		case *peerpb.Frame_Data:
			received += uint64(len(part.Data))
			if _, err := body.Write(part.Data); err != nil {
				body = io.Discard
			}
		case *peerpb.Frame_End:
			if part.End.GetLength() != received {
				return errRequestCut
			}
			trailer := decodeHeader(part.End.GetTrailers())
			f.trailer.Store(&trailer)
			return nil
		default:
			return errRequestCut
		}
	}
}

package daemon

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// maxBufferedBodyBytes is the maximum size of a body that is buffered so that it can be sent or read again.
const maxBufferedBodyBytes = 64 << 10

// A requestBody is the body of a request. A small body is buffered so that it can be sent again.
type requestBody struct {
	content    []byte // nil for a streamed body
	isBuffered bool
	stream     io.Reader
	opened     atomic.Bool
	trailers   func() http.Header
}

// newBufferedBody returns a body that can be sent any number of times.
func newBufferedBody(content []byte, trailers func() http.Header) *requestBody {
	return &requestBody{content: content, isBuffered: true, trailers: trailers}
}

// newStreamedBody returns a body that can be sent only once.
func newStreamedBody(stream io.Reader, trailers func() http.Header) *requestBody {
	return &requestBody{stream: stream, trailers: trailers}
}

// readBody buffers a body of up to maxBufferedBodyBytes. A larger body, or one of unknown length, remains a stream.
func readBody(contentLength int64, stream io.Reader, trailers func() http.Header) (*requestBody, error) {
	if contentLength < 0 || contentLength > maxBufferedBodyBytes {
		return newStreamedBody(stream, trailers), nil
	}
	content := make([]byte, contentLength)
	if _, err := io.ReadFull(stream, content); err != nil {
		return nil, err
	}
	return newBufferedBody(content, trailers), nil
}

// sendable reports whether the body can be sent now.
func (b *requestBody) sendable() bool {
	return b.isBuffered || !b.opened.Load()
}

var errBodyConsumed = errors.New("body was sent before")

// open returns a reader of the body. It fails with errBodyConsumed if a streamed body was opened before.
func (b *requestBody) open() (io.Reader, error) {
	if b.isBuffered {
		return bytes.NewReader(b.content), nil
	}
	if b.opened.Swap(true) {
		return nil, errBodyConsumed
	}
	return b.stream, nil
}

// trailer returns the trailers, which are complete once the body has been read to its end.
func (b *requestBody) trailer() http.Header {
	if b.trailers == nil {
		return nil
	}
	return b.trailers()
}

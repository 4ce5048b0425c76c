package daemon

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

const maxKeptBodyBytes = 64 << 10

// A requestBody is the body of a request; a small one is kept so that it can be sent again.
type requestBody struct {
	kept     []byte
	isKept   bool
	stream   io.Reader
	taken    atomic.Bool
	trailers func() http.Header
}

// newKeptBody returns a body that can be sent any number of times.
func newKeptBody(content []byte, trailers func() http.Header) *requestBody {
	return &requestBody{kept: content, isKept: true, trailers: trailers}
}

// newStreamedBody returns a body that can be sent once.
func newStreamedBody(stream io.Reader, trailers func() http.Header) *requestBody {
	return &requestBody{stream: stream, trailers: trailers}
}

// readBody keeps a small body whole and leaves a large one, or one of unknown length, as a stream.
func readBody(contentLength int64, stream io.Reader, trailers func() http.Header) (*requestBody, error) {
	if contentLength < 0 || contentLength > maxKeptBodyBytes {
		return newStreamedBody(stream, trailers), nil
	}
	content := make([]byte, contentLength)
	if _, err := io.ReadFull(stream, content); err != nil {
		return nil, err
	}
	return newKeptBody(content, trailers), nil
}

// sendable reports whether the body can be sent now.
func (b *requestBody) sendable() bool {
	return b.isKept || !b.taken.Load()
}

var errBodyTaken = errors.New("body was sent before")

// open returns a reader of the whole body; a streamed body opens once.
func (b *requestBody) open() (io.Reader, error) {
	if b.isKept {
		return bytes.NewReader(b.kept), nil
	}
	if b.taken.Swap(true) {
		return nil, errBodyTaken
	}
	return b.stream, nil
}

// trailer returns the trailers, which are complete once the body was read to its end.
func (b *requestBody) trailer() http.Header {
	if b.trailers == nil {
		return nil
	}
	return b.trailers()
}

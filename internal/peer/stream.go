package peer

import (
	"bufio"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	maxMessageBytes = 16 << 20
	readBufferBytes = 4 << 10
)

var readOptions = protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}

var bufferPool = sync.Pool{New: func() any { return new([]byte) }}

// A Stream carries messages of one kind of exchange; one goroutine may send while another receives.
type Stream struct {
	inner   *yamux.Stream
	reader  *bufio.Reader
	pending []byte
}

func newStream(inner *yamux.Stream) *Stream {
	return &Stream{inner: inner, reader: bufio.NewReaderSize(inner, readBufferBytes)}
}

// Send writes the buffered messages and this one, and returns once the session has taken them.
func (s *Stream) Send(message proto.Message) error {
	pooled, _ := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(pooled)
	encoded, err := appendDelimited(append((*pooled)[:0], s.pending...), message)
	if err != nil {
		return err
	}
	*pooled = encoded
	s.pending = s.pending[:0]
	_, err = s.inner.Write(encoded)
	return err
}

// Buffer keeps one message until the next Send, which writes both at once.
func (s *Stream) Buffer(message proto.Message) error {
	encoded, err := appendDelimited(s.pending, message)
	if err != nil {
		return err
	}
	s.pending = encoded
	return nil
}

// Usable reports whether the session of the stream still stands.
func (s *Stream) Usable() bool {
	return !s.inner.Session().IsClosed()
}

// Receive reads the next message; it returns io.EOF where the peer closed the stream between messages.
func (s *Stream) Receive(message proto.Message) error {
	return readOptions.UnmarshalFrom(s.reader, message)
}

// SetDeadline bounds all later sends and receives; the zero time removes the bound.
func (s *Stream) SetDeadline(deadline time.Time) error {
	return s.inner.SetDeadline(deadline)
}

// SetReadDeadline bounds all later receives; the zero time removes the bound.
func (s *Stream) SetReadDeadline(deadline time.Time) error {
	return s.inner.SetReadDeadline(deadline)
}

// SetWriteDeadline bounds all later sends; the zero time removes the bound.
func (s *Stream) SetWriteDeadline(deadline time.Time) error {
	return s.inner.SetWriteDeadline(deadline)
}

// Close ends the stream in both directions.
func (s *Stream) Close() error {
	return s.inner.Close()
}

// Splice copies bytes between s and other in both directions until one of them ends, then closes both.
func (s *Stream) Splice(other *Stream) {
	done := make(chan struct{}, 2)
	go copyOneWay(s, other, done)
	go copyOneWay(other, s, done)
	<-done
	s.Abort()
	other.Abort()
	<-done
}

func copyOneWay(to, from *Stream, done chan<- struct{}) {
	_, _ = io.Copy(to.inner, from.reader)
	done <- struct{}{}
}

// Abort closes the stream and ends sends and receives that are under way.
func (s *Stream) Abort() {
	_ = s.inner.Close()
	_ = s.inner.SetDeadline(time.Unix(1, 0))
}

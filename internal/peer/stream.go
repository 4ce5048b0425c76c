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

// A Stream is a bidirectional stream of messages. One goroutine may send while another one receives.
type Stream struct {
	inner    *yamux.Stream
	open     *openStreams
	reader   *bufio.Reader
	buffered []byte
}

func newStream(inner *yamux.Stream, open *openStreams) *Stream {
	open.add(inner)
	return &Stream{inner: inner, open: open, reader: bufio.NewReaderSize(inner, readBufferBytes)}
}

// Send writes the buffered messages followed by message. It returns after the session has accepted them, before the
// peer has received them.
func (s *Stream) Send(message proto.Message) error {
	pooled, _ := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(pooled)
	encoded, err := appendDelimited(append((*pooled)[:0], s.buffered...), message)
	if err != nil {
		return err
	}
	*pooled = encoded
	s.buffered = s.buffered[:0]
	_, err = s.inner.Write(encoded)
	return err
}

// Buffer holds a message back until the next Send, which writes both together.
func (s *Stream) Buffer(message proto.Message) error {
	encoded, err := appendDelimited(s.buffered, message)
	if err != nil {
		return err
	}
	s.buffered = encoded
	return nil
}

// SessionOpen reports whether the session of the stream is still open.
func (s *Stream) SessionOpen() bool {
	return !s.inner.Session().IsClosed()
}

// Receive reads the next message into message. It returns io.EOF if the peer closed the stream between messages.
func (s *Stream) Receive(message proto.Message) error {
	return readOptions.UnmarshalFrom(s.reader, message)
}

// SetDeadline sets the deadline for sends and receives. The zero time removes the deadline.
func (s *Stream) SetDeadline(deadline time.Time) error {
	return s.open.setDeadline(s.inner.SetDeadline, deadline)
}

// SetReadDeadline sets the deadline for receives. The zero time removes the deadline.
func (s *Stream) SetReadDeadline(deadline time.Time) error {
	return s.open.setDeadline(s.inner.SetReadDeadline, deadline)
}

// SetWriteDeadline sets the deadline for sends. The zero time removes the deadline.
func (s *Stream) SetWriteDeadline(deadline time.Time) error {
	return s.open.setDeadline(s.inner.SetWriteDeadline, deadline)
}

// Close closes the stream for both sending and receiving.
func (s *Stream) Close() error {
	s.open.remove(s.inner)
	return s.inner.Close()
}

// Splice copies bytes between s and other in both directions until either stream ends, and then closes both.
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

// Abort closes the stream and interrupts pending sends and receives.
func (s *Stream) Abort() {
	_ = s.inner.SetDeadline(pastDeadline)
	_ = s.Close()
}

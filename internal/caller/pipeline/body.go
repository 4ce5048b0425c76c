package pipeline

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

var errBodyClosed = errors.New("the body of a request was read after its answer")

// A body is the body of a request. It tells its connection when the next request may be read.
type body struct {
	exchange *exchange
	inner    io.ReadCloser
	mu       sync.Mutex // held during a read
	// continued is set once the caller knows that it may send the body.
	continued bool
	ended     bool
	complete  atomic.Bool
	once      sync.Once
	done      chan struct{}
}

func newBody(x *exchange, inner io.ReadCloser, empty, awaitsContinue bool) *body {
	b := &body{exchange: x, inner: inner, continued: !awaitsContinue, done: make(chan struct{})}
	if empty {
		b.finish()
	}
	return b
}

// Read reads the body. The caller is told to send it first if it waits for that.
func (b *body) Read(buffer []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read(buffer)
}

func (b *body) read(buffer []byte) (int, error) {
	switch {
	case b.complete.Load():
		return 0, io.EOF
	case b.ended:
		return 0, errBodyClosed
	case !b.continued:
		b.continued = true
		if err := b.exchange.sendContinue(); err != nil {
			return 0, err
		}
	}
	b.exchange.limitWait()
	n, err := b.inner.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.finish()
	}
	return n, err
}

// Close does nothing, since the connection reads over the rest of the body.
func (b *body) Close() error { return nil }

// finish notes that the body was read to its end. A time limit for reading it does not hold for the next request, which
// the connection reads from now on.
func (b *body) finish() {
	if !b.complete.Swap(true) {
		b.exchange.connection.conn.holder.Run(1)
	}
	_ = b.exchange.connection.conn.SetReadDeadline(time.Time{})
	b.signal()
}

// end makes later reads fail after the answer.
func (b *body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.signal()
}

// skip reads over up to limit bytes of the rest, and reports whether that was all. It is false during a read.
func (b *body) skip(limit int64) bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	if !b.complete.Load() && b.continued {
		_, _ = io.CopyN(io.Discard, readerFunc(b.read), limit)
	}
	return b.complete.Load()
}

// signal wakes await.
func (b *body) signal() {
	b.once.Do(func() { close(b.done) })
}

// await waits until the body was read to its end or the exchange has ended, and reports whether it was read to its end.
func (b *body) await() bool {
	<-b.done
	return b.complete.Load()
}

// readerFunc makes a function a reader.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(buffer []byte) (int, error) { return f(buffer) }

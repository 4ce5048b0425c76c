package peer

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// pastDeadline interrupts pending sends and receives.
var pastDeadline = time.Unix(1, 0)

// openStreams holds the open streams of a session, so that they can be interrupted when the session ends. yamux announces
// the end of a session before it closes the streams, and waits in between for its reader. Meanwhile each goroutine that
// reads from a stream, or waits to write, repeats without a pause; with many streams on few processors, or on one that only
// switches between goroutines that block, the reader doesn't get to run.
type openStreams struct {
	mu          sync.Mutex
	interrupted bool
	streams     map[*yamux.Stream]struct{}
}

func newOpenStreams() *openStreams {
	return &openStreams{streams: make(map[*yamux.Stream]struct{})}
}

func (o *openStreams) add(stream *yamux.Stream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.streams[stream] = struct{}{}
	if o.interrupted {
		_ = stream.SetDeadline(pastDeadline)
	}
}

func (o *openStreams) remove(stream *yamux.Stream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.streams, stream)
}

// interrupt ends all pending and later sends and receives.
func (o *openStreams) interrupt() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.interrupted = true
	for stream := range o.streams {
		_ = stream.SetDeadline(pastDeadline)
	}
}

// setDeadline calls set with deadline, or with a past one if the streams were interrupted.
func (o *openStreams) setDeadline(set func(time.Time) error, deadline time.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.interrupted {
		deadline = pastDeadline
	}
	return set(deadline)
}

// An interruptingConn interrupts the streams of its session before it closes.
type interruptingConn struct {
	net.Conn
	streams *openStreams
}

// Close is called by yamux right after it has announced the end of the session.
func (c *interruptingConn) Close() error {
	c.streams.interrupt()
	return c.Conn.Close()
}

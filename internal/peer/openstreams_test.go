package peer_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
)

// stuckListener accepts connections whose reads go on after Close until they are released, as on a machine where the
// goroutine that reads the connection does not get to run.
type stuckListener struct {
	net.Listener
	release chan struct{}
}

type stuckConn struct {
	net.Conn
	release chan struct{}
}

func (l stuckListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return stuckConn{conn, l.release}, nil
}

func (c stuckConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err != nil {
		<-c.release
	}
	return n, err
}

// TestEndOfASessionEndsItsStreamsAtOnce ends a session while handlers read from its streams and the reader of the session
// is not done. The handlers must return; they used to repeat their reads without a pause until the reader was done, which
// kept a processor busy.
func TestEndOfASessionEndsItsStreamsAtOnce(t *testing.T) {
	const streams = 50
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stuck := stuckListener{listener, make(chan struct{})}
	var reading, returned sync.WaitGroup
	reading.Add(streams)
	returned.Add(streams)
	server := peer.NewServer(peer.Identity{Cluster: "one", Process: "server", Incarnation: 1})
	server.Handle("wait", func(_ context.Context, _ peer.Identity, stream *peer.Stream) {
		defer returned.Done()
		var frame peerpb.Frame
		_ = stream.Receive(&frame)
		reading.Done()
		_ = stream.Receive(&frame)
	})
	go func() { _ = server.Serve(stuck) }()
	t.Cleanup(func() {
		close(stuck.release)
		_ = server.Close()
	})
	// The path drops everything from when it is cut, so that the server's keep-alive ends the session.
	path, cut := startPath(t, listener.Addr().String())
	pool := newPool(t, "one")
	for range streams {
		stream, err := pool.Open(t.Context(), path, "wait")
		if err != nil {
			t.Fatal(err)
		}
		if err := stream.Send(&peerpb.Frame{CallId: 1}); err != nil {
			t.Fatal(err)
		}
	}
	reading.Wait()
	cut.Store(true)
	done := make(chan struct{})
	go func() {
		returned.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("handlers still read from streams of an ended session")
	}
}

// startPath starts a proxy to address that discards everything while cut is set.
func startPath(t *testing.T, address string) (netip.AddrPort, *atomic.Bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cut := &atomic.Bool{}
	forward := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			if !cut.Load() {
				_, _ = to.Write(buffer[:n])
			}
		}
	}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			t.Cleanup(func() {
				_, _ = from.Close(), to.Close()
			})
			go forward(to, from)
			go forward(from, to)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return netip.MustParseAddrPort(listener.Addr().String()), cut
}

package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
)

// startServer starts a server with an "echo" handler that returns each frame. The server is closed at the end of the
// test.
func startServer(t *testing.T, cluster string, logs io.Writer) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(peer.Identity{Cluster: cluster, Process: "server", Incarnation: 1},
		peer.WithServerLogger(zerolog.New(zerolog.SyncWriter(logs))))
	server.Handle("echo", func(_ context.Context, _ peer.Identity, stream *peer.Stream) {
		for {
			var frame peerpb.Frame
			if stream.Receive(&frame) != nil || stream.Send(&frame) != nil {
				return
			}
		}
	})
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-serveErr; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

func newPool(t *testing.T, cluster string) *peer.Pool {
	t.Helper()
	p := peer.NewPool(peer.Identity{Cluster: cluster, Process: "client", Incarnation: 7})
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func TestStreamsCarryLargeMessagesBothWays(t *testing.T) {
	address := startServer(t, "one", io.Discard)
	stream, err := newPool(t, "one").Open(t.Context(), address, "echo")
	if err != nil {
		t.Fatal(err)
	}
	for id, size := range []int{0, 1, 300 << 10, 4 << 20} {
		sent := &peerpb.Frame{CallId: uint64(id), Body: &peerpb.Frame_Data{Data: bytes.Repeat([]byte{byte(id)}, size)}}
		go func() { _ = stream.Send(sent) }()
		var got peerpb.Frame
		if err := stream.Receive(&got); err != nil || got.GetCallId() != uint64(id) || len(got.GetData()) != size {
			t.Fatalf("size %d: got call %d with %d bytes, %v", size, got.GetCallId(), len(got.GetData()), err)
		}
	}
}

func TestTooLargeMessageIsNotSent(t *testing.T) {
	address := startServer(t, "one", io.Discard)
	stream, err := newPool(t, "one").Open(t.Context(), address, "echo")
	if err != nil {
		t.Fatal(err)
	}
	large := &peerpb.Frame{Body: &peerpb.Frame_Data{Data: make([]byte, 17<<20)}}
	if err := stream.Send(large); err == nil {
		t.Fatal("a message of 17 MiB was sent")
	}
	if err := stream.Send(&peerpb.Frame{CallId: 3}); err != nil {
		t.Fatal(err)
	}
	var got peerpb.Frame
	if err := stream.Receive(&got); err != nil || got.GetCallId() != 3 {
		t.Fatalf("after the rejected message: got call %v, %v", got.GetCallId(), err)
	}
}

func TestForeignSessionsAreRefused(t *testing.T) {
	tests := []struct {
		name string
		dial func(t *testing.T, address netip.AddrPort) error
		log  string
	}{
		{"another cluster", func(t *testing.T, address netip.AddrPort) error {
			_, err := newPool(t, "two").Open(t.Context(), address, "echo")
			return err
		}, `cluster \"two\" is not \"one\"`},
		{"garbage", func(t *testing.T, address netip.AddrPort) error {
			return writeRaw(t, address, "GET / HTTP/1.1\r\nHost: example\r\n\r\n")
		}, "session refused"},
		{"half a hello", func(t *testing.T, address netip.AddrPort) error {
			return writeRaw(t, address, "\x00\x01\x00\x01\x00\x00\x00\x01\x00\x00\x00\x00")
		}, "session refused"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			logs := &lockedBuffer{}
			t.Run("session", func(t *testing.T) {
				address := startServer(t, "one", logs)
				if err := test.dial(t, address); err == nil {
					t.Fatal("the session was accepted")
				}
			})
			if !strings.Contains(logs.String(), test.log) {
				t.Errorf("log = %q, want %q in it", logs.String(), test.log)
			}
		})
	}
}

// writeRaw sends content, closes the write side and returns the error with which the server ends the connection, or
// io.EOF if the server closes it cleanly.
func writeRaw(t *testing.T, address netip.AddrPort, content string) error {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, content); err != nil {
		return err
	}
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.CloseWrite()
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		return err
	}
	return io.EOF
}

func TestUnknownKindClosesOnlyItsStream(t *testing.T) {
	address := startServer(t, "one", io.Discard)
	p := newPool(t, "one")
	unknown, err := p.Open(t.Context(), address, "no-such-kind")
	if err != nil {
		t.Fatal(err)
	}
	var frame peerpb.Frame
	if err := unknown.Receive(&frame); !errors.Is(err, io.EOF) {
		t.Fatalf("Receive = %v, want EOF", err)
	}
	known, err := p.Open(t.Context(), address, "echo")
	if err != nil {
		t.Fatal(err)
	}
	if err := known.Send(&peerpb.Frame{CallId: 9}); err != nil {
		t.Fatal(err)
	}
	if err := known.Receive(&frame); err != nil || frame.GetCallId() != 9 {
		t.Fatalf("Receive = %v, %v", frame.GetCallId(), err)
	}
}

func TestOpenFailsAfterTheServerStopped(t *testing.T) {
	p := newPool(t, "one")
	var address netip.AddrPort
	t.Run("first start", func(t *testing.T) {
		address = startServer(t, "one", io.Discard)
		if _, err := p.Open(t.Context(), address, "echo"); err != nil {
			t.Fatal(err)
		}
	})
	if _, err := p.Open(t.Context(), address, "echo"); err == nil {
		t.Fatal("a stream was opened to a stopped server")
	}
}

func TestCloseLeavesNoGoroutine(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("session", func(t *testing.T) {
		address := startServer(t, "one", io.Discard)
		stream, err := newPool(t, "one").Open(t.Context(), address, "echo")
		if err != nil {
			t.Fatal(err)
		}
		if err := stream.Send(&peerpb.Frame{CallId: 1}); err != nil {
			t.Fatal(err)
		}
	})
	for range 500 {
		if runtime.NumGoroutine() <= before {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d goroutines before, %d after", before, runtime.NumGoroutine())
}

// TestPanicEndsOnlyItsStream checks that a panic of a handler leaves the process, the session and other streams in use.
func TestPanicEndsOnlyItsStream(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(peer.Identity{Cluster: "one", Process: "server", Incarnation: 1})
	server.Handle("panic", func(context.Context, peer.Identity, *peer.Stream) {
		var missing map[string]int
		missing["x"] = 1
	})
	server.Handle("echo", func(_ context.Context, _ peer.Identity, stream *peer.Stream) {
		var frame peerpb.Frame
		if stream.Receive(&frame) == nil {
			_ = stream.Send(&frame)
		}
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	pool, address := newPool(t, "one"), netip.MustParseAddrPort(listener.Addr().String())
	for range 3 {
		failing, err := pool.Open(t.Context(), address, "panic")
		if err != nil {
			t.Fatal(err)
		}
		var frame peerpb.Frame
		if err := failing.Receive(&frame); !errors.Is(err, io.EOF) {
			t.Errorf("the stream of the panic: %v, want its end", err)
		}
		echo, err := pool.Open(t.Context(), address, "echo")
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(echo.Send(&peerpb.Frame{CallId: 5}), echo.Receive(&frame)); err != nil || frame.GetCallId() != 5 {
			t.Errorf("another stream: %v", err)
		}
	}
}

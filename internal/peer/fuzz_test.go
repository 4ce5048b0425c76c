package peer_test

import (
	"io"
	"net"
	"testing"
	"time"

	"sapphirespread.example/internal/peer"
)

// FuzzSession writes bytes of a stranger to the listener: the session ends, and the server serves on.
func FuzzSession(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0, 1, 0, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 3, 2, 8, 1})
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 1, 255, 255, 255, 255})
	f.Add([]byte{0, 2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 9, 0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 2})
	f.Fuzz(func(t *testing.T, content []byte) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := peer.NewServer(peer.Identity{Cluster: "one", Process: "server", Incarnation: 1})
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(listener) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = conn.Write(content)
		_ = conn.(*net.TCPConn).CloseWrite()
		if _, err := io.Copy(io.Discard, conn); err != nil && isTimeout(err) {
			t.Error("the server keeps a stranger's connection")
		}
		_ = conn.Close()
		if err := server.Close(); err != nil {
			t.Errorf("Close: %v", err)
		}
		if err := <-ended; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

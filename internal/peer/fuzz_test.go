package peer_test

import (
	"io"
	"net"
	"testing"
	"time"

	"sapphirespread.example/internal/peer"
)

// FuzzSession sends arbitrary bytes to the listener. The server must close the connection and shut down without an
// error.
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
		serveErr := make(chan error, 1)
		go func() { serveErr <- server.Serve(listener) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = conn.Write(content)
		_ = conn.(*net.TCPConn).CloseWrite()
		if _, err := io.Copy(io.Discard, conn); err != nil && isTimeout(err) {
			t.Error("the server did not close the connection of an unknown client")
		}
		_ = conn.Close()
		if err := server.Close(); err != nil {
			t.Errorf("Close: %v", err)
		}
		if err := <-serveErr; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

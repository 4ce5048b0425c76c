package daemon_test

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// TestRefusalAfterAnUnsureAttemptDoesNotSayNotRun breaks the connection of a request that may be sent again, and takes the
// only backend server away before that: the request may have run, whatever the later attempts came to.
func TestRefusalAfterAnUnsureAttemptDoesNotSayNotRun(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	var closeConnections atomic.Bool
	var b *backendServer
	b = f.breakingBackend("courts-1", "courts", func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if closeConnections.Load() {
				b.daemon.Leave("courts-1")
				return
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	})
	f.eventually("an answer", func() bool { return ask(b.daemon, http.MethodGet, "/courts/1", "club", "").status == http.StatusOK })
	closeConnections.Store(true)
	got := ask(b.daemon, http.MethodGet, "/courts/1", "club", "")
	if got.header.Get("Sapphirespread-Run-State") != "unknown" {
		t.Errorf("got %d %s %s", got.status, got.refusal(), got.header.Get("Sapphirespread-Run-State"))
	}
}

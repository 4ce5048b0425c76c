package daemon_test

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// TestRefusalAfterAnUnsureAttemptDoesNotSayNotRun closes the connection of a repeatable request after the only backend
// server has left, so that the retry finds no target. The refusal must not say that the request has not run, because
// the first attempt may have run.
func TestRefusalAfterAnUnsureAttemptDoesNotSayNotRun(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	var closeConnections atomic.Bool
	var b *backendServer
	b = f.rawBackend("courts-1", "courts", func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if closeConnections.Load() {
				b.daemon.WithdrawAnnouncement("courts-1")
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

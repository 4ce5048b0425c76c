package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/internal/daemon"
	"sapphirespread.example/refusal"
)

// writeAnswer returns a connection handler that reads one request, writes answer and closes the connection.
func writeAnswer(answer string) func(net.Conn) {
	return func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(conn, answer)
		_ = conn.Close()
	}
}

// rawBackend starts a daemon and announces a backend server that passes each raw connection to serve.
func (f *fleet) rawBackend(name, service string, serve func(net.Conn)) *backendServer {
	f.t.Helper()
	b := &backendServer{name: name, slots: testSlots}
	b.daemon, b.stop, b.ended = f.daemon(name)
	listener := listen(f.t)
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	b.announce(f, service, addressOf(listener), "ready")
	go b.keepAnnouncing(f.t.Context(), f, service, addressOf(listener))
	return b
}

// TestBrokenBackendConnectionIsOfUnknownOutcome breaks the connection to a backend server in various ways after it may
// have received the first byte of a request. No answer may report the request as not run or end as complete.
func TestBrokenBackendConnectionIsOfUnknownOutcome(t *testing.T) {
	f := newFleet(t)
	set := baseSet()
	set.Routes[1].Deadline = time.Second
	set.Routes[2].Deadline = time.Second
	set.Routes[2].Service = "courts"
	f.publish(set)
	const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct {
		name  string
		serve func(net.Conn)
		cut   bool
	}{
		{"closed unread", func(conn net.Conn) { _ = conn.Close() }, false},
		{"reset after a byte", func(conn net.Conn) {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}, false},
		{"closed after the request", writeAnswer(""), false},
		{"garbage", writeAnswer("no such protocol\r\n\r\n"), false},
		{"half a status line", writeAnswer("HTTP/1.1 20"), false},
		{"half a header", writeAnswer("HTTP/1.1 200 OK\r\nContent-Le"), false},
		{"bad length", writeAnswer("HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n"), false},
		{"interim answer only", writeAnswer("HTTP/1.1 103 Early Hints\r\n\r\n"), false},
		{"half a body", writeAnswer("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"), true},
		{"half a chunk", writeAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"), true},
		{"no last chunk", writeAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), true},
		{"silence", func(net.Conn) {}, false},
	}
	var current atomic.Pointer[func(net.Conn)]
	healthy := writeAnswer(completeAnswer)
	current.Store(&healthy)
	served := f.rawBackend("courts-1", "courts", func(conn net.Conn) { (*current.Load())(conn) })
	entry, _, _ := f.daemon("entry")
	sentCount := 0
	send := func(d *backendServer, path string) reply {
		sentCount++
		return sendNumbered(d.daemon, path, sentCount)
	}
	for _, c := range cases {
		for name, d := range map[string]*backendServer{"beside": served, "across": {daemon: entry}} {
			for _, path := range []string{"/open/1", "/bookings"} {
				current.Store(&healthy)
				f.eventually("an answer", func() bool { return send(d, path).status == http.StatusOK })
				current.Store(&c.serve)
				got := send(d, path)
				if cut := c.cut && got.err != nil; !cut && !isUnknownOutcome(got) {
					t.Errorf("%s, %s, %s: %d %s %s %q %v", c.name, name, path, got.status, got.refusal(), got.header.Get(headerRunState), got.body, got.err)
				}
			}
		}
	}
}

// sendNumbered sends a POST request whose body and, for bookings, idempotency key contain number.
func sendNumbered(d *daemon.Daemon, path string, number int) reply {
	body := fmt.Sprint("body ", number)
	if path == "/bookings" {
		return ask(d, http.MethodPost, path, "club", body, "Idempotency-Key", fmt.Sprint("key-", number))
	}
	return ask(d, http.MethodPost, path, "club", body)
}

func isUnknownOutcome(got reply) bool {
	return got.err == nil && got.refusal() != "" && got.header.Get(headerRunState) == string(refusal.Unknown)
}

// TestBrokenDaemonConnectionIsOfUnknownOutcome breaks the connection between two daemons before, during and after the
// request, and before and during the answer. The outcome is reported as unknown, and a request that has reached the
// target runs once.
func TestBrokenDaemonConnectionIsOfUnknownOutcome(t *testing.T) {
	f := newFleet(t)
	set := baseSet()
	set.Routes[1].Deadline = time.Second
	set.Routes[2].Deadline = time.Second
	f.publish(set)
	var runs atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		echo(w, r)
	}
	f.relayed = true
	f.backend("courts-1", "courts", handler)
	courts := f.relay
	f.backend("bookings-1", "bookings", handler)
	relays := map[string]*relay{"/open/1": courts, "/bookings": f.relay}
	f.relayed = false
	entry, _, _ := f.daemon("entry")
	sentCount := 0
	for path, relay := range relays {
		send := func() reply {
			sentCount++
			return sendNumbered(entry, path, sentCount)
		}
		for _, point := range []breakage{breakBeforeRequest, breakInRequest, breakAfterRequest, breakBeforeAnswer, breakInAnswer, freeze} {
			f.eventually("an answer", func() bool { return send().status == http.StatusOK })
			before := runs.Load()
			relay.arm(point)
			got := send()
			if cut := point == breakInAnswer && got.err != nil; !cut && !isUnknownOutcome(got) {
				t.Errorf("%s, breakage %d: %d %s %s %q %v", path, point, got.status, got.refusal(), got.header.Get(headerRunState), got.body, got.err)
			}
			if ran := runs.Load() - before; point >= breakBeforeAnswer && point != freeze && ran != 1 {
				t.Errorf("%s, breakage %d: %d runs", path, point, ran)
			}
			relay.reset()
		}
	}
}

package daemon_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestBytesWithoutEndHoldNoSlotPastTheDeadline lets a backend server answer without end, fast or slowly, until its caller
// closes. Each call must end with its deadline, an answer that was begun must not look complete, and the next requests
// must find a slot.
func TestBytesWithoutEndHoldNoSlotPastTheDeadline(t *testing.T) {
	const deadline = 500 * time.Millisecond
	floods := map[string]struct {
		start, repeated string
		pause           time.Duration
	}{
		"head":        {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 512), 0},
		"slow head":   {"HTTP/1.1 200 OK\r\nX: ", "x", 20 * time.Millisecond},
		"body":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "200\r\n" + strings.Repeat("b", 512) + "\r\n", 0},
		"slow body":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n", 20 * time.Millisecond},
		"slow length": {"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", "b", 20 * time.Millisecond},
	}
	for name, flood := range floods {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			set := baseSet()
			set.Routes[0].Deadline = deadline
			f.publish(set)
			var begun, closed atomic.Int32
			served := f.rawBackend("courts-1", "courts", func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if request.URL.RawQuery != "flood" {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
						continue
					}
					begun.Add(1)
					_, err = io.WriteString(conn, flood.start)
					for err == nil {
						time.Sleep(flood.pause)
						_, err = io.WriteString(conn, flood.repeated)
					}
					closed.Add(1)
					return
				}
			})
			f.eventually("an answer", func() bool {
				return ask(served.daemon, http.MethodGet, "/courts/1", "club", "").status == http.StatusOK
			})
			const floodRequests = 8 // more than a target with one slot runs side by side
			for range floodRequests {
				if got := ask(served.daemon, http.MethodGet, "/courts/1?flood", "club", ""); got.status == http.StatusOK && got.err == nil {
					t.Errorf("an endless answer of %d bytes looks complete", len(got.body))
				}
				f.eventually("the connections to the backend server are closed", func() bool { return closed.Load() == begun.Load() })
			}
			if begun.Load() == 0 {
				t.Error("no endless answer was begun")
			}
			f.eventually("another answer", func() bool {
				return ask(served.daemon, http.MethodGet, "/courts/1", "club", "").status == http.StatusOK
			})
		})
	}
}

package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"sapphirespread.example/internal/daemon"
)

// exchangeRaw writes raw bytes to the callers' listener and returns the status and the refusal kind of the answer, or
// "closed".
func exchangeRaw(t *testing.T, d *daemon.Daemon, raw string) string {
	t.Helper()
	conn, err := net.Dial("tcp", d.CallersAddress().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testBound))
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "closed"
	}
	_ = response.Body.Close()
	return fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get("Sapphirespread-Refusal"))
}

// TestBadInputGetsAClearAnswer checks that malformed or unauthorized requests get a specific error status and never
// reach the backend server.
func TestBadInputGetsAClearAnswer(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	runs := make(chan string, 100)
	served := f.backend("courts-1", "courts", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs <- r.URL.Path
	})
	f.eventually("an answer", func() bool {
		return ask(served.daemon, http.MethodGet, "/courts/1", "club", "").status == http.StatusOK
	})
	for len(runs) > 0 {
		<-runs
	}
	authorized := "Host: x\r\nAuthorization: Bearer " + secretOf("club") + "\r\n"
	cases := []struct{ name, raw, want string }{
		{"malformed request line", "GETcourts\r\n\r\n", "400 "},
		{"malformed header", "GET /courts/1 HTTP/1.1\r\nHost x\r\n\r\n", "400 "},
		{"two hosts", "GET /courts/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400 "},
		{"length and chunks", "POST /courts/1 HTTP/1.1\r\n" + authorized + "Content-Length: 3\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "501 "},
		{"negative length", "POST /courts/1 HTTP/1.1\r\n" + authorized + "Content-Length: -1\r\n\r\n", "400 "},
		{"oversized headers", "GET /courts/1 HTTP/1.1\r\n" + authorized + "X: " + strings.Repeat("x", 80<<10) + "\r\n\r\n", "431 "},
		{"header that never ends", "GET /courts/1 HTTP/1.1\r\nHost: x\r\n", "closed"},
		{"nothing", "", "closed"},
		{"two idempotency keys", "POST /bookings HTTP/1.1\r\n" + authorized + "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", "400 idempotency-key-invalid"},
		{"no idempotency key", "POST /bookings HTTP/1.1\r\n" + authorized + "Content-Length: 0\r\n\r\n", "400 idempotency-key-missing"},
		{"no key", "GET /courts/1 HTTP/1.1\r\nHost: x\r\n\r\n", "401 key-missing"},
		{"unknown route", "GET /else HTTP/1.1\r\n" + authorized + "\r\n", "404 no-route"},
		{"escaping path", "GET /courts/..%2f..%2fadmin HTTP/1.1\r\n" + authorized + "\r\n", "404 no-route"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := exchangeRaw(t, served.daemon, c.raw); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
	if len(runs) != 0 {
		t.Errorf("the backend server ran %s", <-runs)
	}
}

// TestSlowAndHalfClosedBodiesEndWithTheDeadline checks that a request whose body stalls ends with its deadline, and
// that the backend server never mistakes a partial body for a complete one.
func TestSlowAndHalfClosedBodiesEndWithTheDeadline(t *testing.T) {
	f := newFleet(t)
	set := baseSet()
	set.Routes[0].Deadline = 300 * time.Millisecond
	f.publish(set)
	bodyErrors := make(chan error, 4)
	served := f.backend("courts-1", "courts", func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		bodyErrors <- err
	})
	authorized := "POST /courts/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + secretOf("club") + "\r\n"
	f.eventually("an answer", func() bool {
		return ask(served.daemon, http.MethodGet, "/courts/1", "club", "").status == http.StatusOK
	})
	<-bodyErrors
	if got := exchangeRaw(t, served.daemon, authorized+"Content-Length: 10\r\n\r\nhalf"); got != "400 malformed-request" {
		t.Errorf("stalled small body: %s", got)
	}
	if got := exchangeRaw(t, served.daemon, authorized+"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"); got != "504 deadline-exceeded" {
		t.Errorf("stalled streamed body: %s", got)
	}
	if err := <-bodyErrors; err == nil {
		t.Error("the backend server read a partial body as complete")
	}
}

// TestStopLeavesNoGoroutine checks that stopped daemons leave no goroutines behind, also after an incomplete request.
func TestStopLeavesNoGoroutine(t *testing.T) {
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	before := runtime.NumGoroutine()
	t.Run("fleet", func(t *testing.T) {
		f := newFleet(t)
		f.publish(baseSet())
		f.backend("courts-1", "courts", echo)
		entry, _, _ := f.daemon("entry")
		f.eventually("an answer", func() bool {
			return ask(entry, http.MethodPost, "/courts/1", "club", "body").status == http.StatusOK
		})
		_ = exchangeRaw(t, entry, "POST /courts/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+secretOf("club")+"\r\nContent-Length: 9\r\n\r\nhalf")
	})
	for deadline := time.Now().Add(testBound); runtime.NumGoroutine() > before; time.Sleep(20 * time.Millisecond) {
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		if time.Now().After(deadline) {
			stacks := make([]byte, 1<<20)
			t.Fatalf("%d goroutines before, %d after\n%s", before, runtime.NumGoroutine(), stacks[:runtime.Stack(stacks, true)])
		}
	}
}

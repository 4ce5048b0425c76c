package connection_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/internal/backend/connection"
)

const headerID = "Id"

// A server answers requests with scripted responses.
type server struct {
	listener net.Listener
	accepted atomic.Int32
}

// startServer starts a server. The respond function writes the response to the request with index n of a connection and
// reports whether to keep the connection open.
func startServer(t *testing.T, respond func(conn net.Conn, n int, request *http.Request) bool) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					request, err := http.ReadRequest(reader)
					if err != nil || !respond(conn, n, request) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func (s *server) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// send sends a request with the given ID and returns the body of the response.
func send(t *testing.T, pool *connection.Pool, s *server, id string, body io.Reader) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://backend/x", body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(headerID, id)
	response, err := pool.Do(ctx, s.address(), connection.Exchange{
		Request:          request,
		Key:              id,
		BeforeWrite:      func() {},
		BelongsToRequest: func(_ int, header http.Header) bool { return header.Get(headerID) == id },
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

func writeResponse(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestRequestsInABurstAwaitReturnedConnections sends a second request while the only connection is in use. Connections
// have been returned often, so that the request waits for this one, but only for as long as it may.
func TestRequestsInABurstAwaitReturnedConnections(t *testing.T) {
	for _, test := range []struct {
		wait   time.Duration
		opened int32
	}{{0, 2}, {time.Second / 100, 2}, {time.Minute, 1}} {
		release := make(chan struct{})
		s := startServer(t, func(conn net.Conn, _ int, request *http.Request) bool {
			if request.Header.Get(headerID) == "slow" {
				<-release
			}
			writeResponse(conn, request.Header.Get(headerID), "ok")
			return true
		})
		pool := connection.NewPool()
		pool.SetWait(test.wait)
		for i := range 3 {
			if _, err := send(t, pool, s, fmt.Sprint(i), nil); err != nil {
				t.Fatal(err)
			}
		}
		request := func(id string) <-chan error {
			done := make(chan error, 1)
			go func() {
				_, err := send(t, pool, s, id, nil)
				done <- err
			}()
			return done
		}
		slow := request("slow")
		for pool.Stats().Reused < 3 {
			time.Sleep(time.Millisecond)
		}
		second := request("second")
		for pool.Stats().Waiting == 0 && s.accepted.Load() == 1 {
			time.Sleep(time.Millisecond)
		}
		if test.opened == 1 {
			close(release)
		}
		if err := <-second; err != nil {
			t.Error(err)
		}
		if test.opened == 2 {
			close(release)
		}
		if err := <-slow; err != nil {
			t.Error(err)
		}
		if got := s.accepted.Load(); got != test.opened {
			t.Errorf("waits for %s: %d connections, want %d", test.wait, got, test.opened)
		}
	}
}

func TestConnectionsAreKept(t *testing.T) {
	s := startServer(t, func(conn net.Conn, _ int, r *http.Request) bool {
		writeResponse(conn, r.Header.Get(headerID), "own")
		return true
	})
	pool := connection.NewPool()
	for i := range 5 {
		if got, err := send(t, pool, s, fmt.Sprint(i), nil); err != nil || got != "own" {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if accepted := s.accepted.Load(); accepted != 1 {
		t.Errorf("opened %d connections for 5 requests, want 1", accepted)
	}
}

// TestAnswersOfOthersAreNotTaken sends an additional response right after the own one, with a delay, or before it. No
// request may receive a response to another request.
func TestAnswersOfOthersAreNotTaken(t *testing.T) {
	s := startServer(t, func(conn net.Conn, _ int, r *http.Request) bool {
		own := r.Header.Get(headerID)
		switch own {
		case "at-once":
			writeResponse(conn, own, "own")
			writeResponse(conn, own, "second")
		case "late":
			writeResponse(conn, own, "own")
			time.AfterFunc(20*time.Millisecond, func() { writeResponse(conn, own, "second") })
		case "before":
			writeResponse(conn, "late", "second")
			writeResponse(conn, own, "own")
		default:
			writeResponse(conn, own, "own")
		}
		return true
	})
	pool := connection.NewPool()
	for _, id := range []string{"at-once", "a", "before", "b", "late", "c"} {
		if id == "c" {
			time.Sleep(40 * time.Millisecond)
		}
		if got, err := send(t, pool, s, id, nil); err != nil || got != "own" {
			t.Errorf("%s: got %q, %v", id, got, err)
		}
	}
}

// TestRepeatedAnswersDoNotReachAResentRequest guards against an earlier refusal that a backend server writes once more on a
// kept connection, while it runs the same request that was sent again.
func TestRepeatedAnswersDoNotReachAResentRequest(t *testing.T) {
	var refused atomic.Bool
	s := startServer(t, func(conn net.Conn, n int, r *http.Request) bool {
		own := r.Header.Get(headerID)
		if own == "resent" && !refused.Swap(true) {
			writeResponse(conn, own, "refused")
			return true
		}
		if own == "resent" && n > 0 {
			writeResponse(conn, own, "refused")
		}
		writeResponse(conn, own, "ran")
		return true
	})
	pool := connection.NewPool()
	for i, step := range []struct{ id, want string }{{"resent", "refused"}, {"other", "ran"}, {"resent", "ran"}, {"third", "ran"}} {
		if got, err := send(t, pool, s, step.id, nil); err != nil || got != step.want {
			t.Errorf("request %d, %s: got %q, %v", i, step.id, got, err)
		}
	}
	if accepted := s.accepted.Load(); accepted != 2 {
		t.Errorf("opened %d connections, want 2: one for each time that the request was sent", accepted)
	}
}

// TestClosedConnectionsAreNotWrittenTo makes the server close idle connections without a Connection: close header.
// Later requests must use a new connection.
func TestClosedConnectionsAreNotWrittenTo(t *testing.T) {
	s := startServer(t, func(conn net.Conn, _ int, r *http.Request) bool {
		writeResponse(conn, r.Header.Get(headerID), "own")
		return false
	})
	pool := connection.NewPool()
	for i := range 3 {
		if got, err := send(t, pool, s, fmt.Sprint(i), nil); err != nil || got != "own" {
			t.Errorf("got %q, %v", got, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestCutAnswersAreNotWhole truncates responses in the header and in each framing with a known length. It also sends a
// malformed and an endless header.
func TestCutAnswersAreNotWhole(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 10\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"HTTP/1.1 200 OK\r\nId: x\r\n",
		"no answer at all\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: x\r\nEndless: " + strings.Repeat("x", 300<<10),
	} {
		s := startServer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
			_, _ = io.WriteString(conn, head)
			return false
		})
		if got, err := send(t, connection.NewPool(), s, "x", nil); err == nil {
			t.Errorf("%.60q was accepted as the complete response %q", head, got)
		}
	}
}

// TestHeadsThatStopAnywhereAreNoAnswers guards against a 200 with an empty or short body for a backend server that stops in the
// middle of a head and closes. Each prefix of the heads is sent, alone, as a second answer on the connection, and after an
// informational response.
func TestHeadsThatStopAnywhereAreNoAnswers(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 10\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: x\r\nConnection: close\r\n\r\n",
		"HTTP/1.0 200 OK\nId: x\nFolded: a\n b\n\n",
		"HTTP/1.1 204 No Content\r\nId: x\r\n\r\n",
	}
	for _, before := range []string{"", "an answer", "a hint"} {
		for _, head := range heads {
			for cut := range len(head) {
				s := startServer(t, func(conn net.Conn, n int, _ *http.Request) bool {
					switch {
					case before == "an answer" && n == 0:
						writeResponse(conn, "first", "own")
						return true
					case before == "a hint":
						_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nId: x\r\n\r\n")
					}
					_, _ = io.WriteString(conn, head[:cut])
					return false
				})
				pool := connection.NewPool()
				if before == "an answer" {
					if got, err := send(t, pool, s, "first", nil); err != nil || got != "own" {
						t.Fatalf("first answer: %q %v", got, err)
					}
				}
				if got, err := send(t, pool, s, "x", nil); err == nil {
					t.Errorf("after %q, %q was accepted as the complete answer %q", before, head[:cut], got)
				}
			}
		}
	}
}

// TestEarlyAnswersEndTheConnection responds before a long request body is sent. The connection must not be reused,
// because the rest of the body could be read as the next request.
func TestEarlyAnswersEndTheConnection(t *testing.T) {
	s := startServer(t, func(conn net.Conn, _ int, r *http.Request) bool {
		writeResponse(conn, r.Header.Get(headerID), "early")
		return true
	})
	pool := connection.NewPool()
	reader, writer := io.Pipe()
	go func() { _, _ = writer.Write(make([]byte, 100)) }()
	if got, err := send(t, pool, s, "long", reader); err != nil || got != "early" {
		t.Fatalf("got %q, %v", got, err)
	}
	if got, err := send(t, pool, s, "next", nil); err != nil || got != "early" {
		t.Fatalf("got %q, %v", got, err)
	}
	if accepted := s.accepted.Load(); accepted != 2 {
		t.Errorf("opened %d connections, want 2: the rest of the long body may reach the next request", accepted)
	}
}

func TestRequestsEndWithTheirContext(t *testing.T) {
	s := startServer(t, func(net.Conn, int, *http.Request) bool {
		time.Sleep(5 * time.Second)
		return false
	})
	began := time.Now()
	if _, err := send(t, connection.NewPool(), s, "x", nil); err == nil || time.Since(began) > 4*time.Second {
		t.Errorf("the request ended with %v after %s", err, time.Since(began))
	}
}

// TestBytesWithoutEndAreBounded lets a backend server send bytes that are no answer until its caller closes. The round
// trip must fail long before its deadline, and the connection must be closed.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const (
		deadline   = 20 * time.Second
		pieceBytes = 4096
	)
	floods := map[string][2]string{
		"head":                        {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 4096)},
		"header lines":                {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"status line":                 {"", strings.Repeat("y", 4096)},
		"informational answers":       {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"answers to other requests":   {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nz"},
		"body for another request":    {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", strings.Repeat("b", 4096)},
		"chunked for another request": {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbbbb\r\n"},
	}
	for name, flood := range floods {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// Small pieces are written many at a time: a write each takes longer than the deadline on a busy machine.
			pieces := strings.Repeat(flood[1], max(1, pieceBytes/len(flood[1])))
			closed := make(chan struct{})
			s := startServer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				defer close(closed)
				_, err := io.WriteString(conn, flood[0])
				for err == nil {
					_, err = io.WriteString(conn, pieces)
				}
				return false
			})
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://backend/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			_, err = connection.NewPool().Do(ctx, s.address(), connection.Exchange{
				Request:          request,
				BeforeWrite:      func() {},
				BelongsToRequest: func(_ int, header http.Header) bool { return header.Get(headerID) == "own" },
			})
			if err == nil || ctx.Err() != nil {
				t.Errorf("the round trip ended with %v, at its deadline: %t", err, ctx.Err() != nil)
			}
			select {
			case <-closed:
			case <-time.After(deadline):
				t.Error("the connection was not closed")
			}
		})
	}
}

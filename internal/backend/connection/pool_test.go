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

// A server answers the requests of each connection by a script.
type server struct {
	listener net.Listener
	accepted atomic.Int32
}

// serve starts a server; answer writes the answer to the nth request of a connection and reports whether to go on.
func serve(t *testing.T, answer func(conn net.Conn, n int, request *http.Request) bool) *server {
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
					if err != nil || !answer(conn, n, request) {
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

// ask sends a request with an id and returns the body of the answer.
func ask(t *testing.T, pool *connection.Pool, s *server, id string, body io.Reader) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://backend/x", body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(headerID, id)
	response, err := pool.Do(ctx, s.address(), connection.Exchange{
		Request: request,
		Sent:    func() {},
		Own:     func(_ int, header http.Header) bool { return header.Get(headerID) == id },
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

func write(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionsAreKept(t *testing.T) {
	s := serve(t, func(conn net.Conn, _ int, r *http.Request) bool {
		write(conn, r.Header.Get(headerID), "own")
		return true
	})
	pool := connection.NewPool()
	for i := range 5 {
		if got, err := ask(t, pool, s, fmt.Sprint(i), nil); err != nil || got != "own" {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if accepted := s.accepted.Load(); accepted != 1 {
		t.Errorf("%d connections for 5 requests", accepted)
	}
}

// TestAnswersOfOthersAreNotTaken sends second answers at once, late and before the own one.
func TestAnswersOfOthersAreNotTaken(t *testing.T) {
	s := serve(t, func(conn net.Conn, _ int, r *http.Request) bool {
		own := r.Header.Get(headerID)
		switch own {
		case "at-once":
			write(conn, own, "own")
			write(conn, own, "second")
		case "late":
			write(conn, own, "own")
			time.AfterFunc(20*time.Millisecond, func() { write(conn, own, "second") })
		case "before":
			write(conn, "late", "second")
			write(conn, own, "own")
		default:
			write(conn, own, "own")
		}
		return true
	})
	pool := connection.NewPool()
	for _, id := range []string{"at-once", "a", "before", "b", "late", "c"} {
		if id == "c" {
			time.Sleep(40 * time.Millisecond)
		}
		if got, err := ask(t, pool, s, id, nil); err != nil || got != "own" {
			t.Errorf("%s: got %q, %v", id, got, err)
		}
	}
}

// TestClosedConnectionsAreNotWrittenTo closes idle connections without notice.
func TestClosedConnectionsAreNotWrittenTo(t *testing.T) {
	s := serve(t, func(conn net.Conn, _ int, r *http.Request) bool {
		write(conn, r.Header.Get(headerID), "own")
		return false
	})
	pool := connection.NewPool()
	for i := range 3 {
		if got, err := ask(t, pool, s, fmt.Sprint(i), nil); err != nil || got != "own" {
			t.Errorf("got %q, %v", got, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestCutAnswersAreNotWhole breaks answers off in each kind of framing that tells a length, and in their head.
func TestCutAnswersAreNotWhole(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 10\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"HTTP/1.1 200 OK\r\nId: x\r\n",
		"no answer at all\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: x\r\nEndless: " + strings.Repeat("x", 300<<10),
	} {
		s := serve(t, func(conn net.Conn, _ int, _ *http.Request) bool {
			_, _ = io.WriteString(conn, head)
			return false
		})
		if got, err := ask(t, connection.NewPool(), s, "x", nil); err == nil {
			t.Errorf("%.60q was taken for the whole answer %q", head, got)
		}
	}
}

// TestEarlyAnswersEndTheConnection answers before a long body was sent.
func TestEarlyAnswersEndTheConnection(t *testing.T) {
	s := serve(t, func(conn net.Conn, _ int, r *http.Request) bool {
		write(conn, r.Header.Get(headerID), "early")
		return true
	})
	pool := connection.NewPool()
	reader, writer := io.Pipe()
	go func() { _, _ = writer.Write(make([]byte, 100)) }()
	if got, err := ask(t, pool, s, "long", reader); err != nil || got != "early" {
		t.Fatalf("got %q, %v", got, err)
	}
	if got, err := ask(t, pool, s, "next", nil); err != nil || got != "early" {
		t.Fatalf("got %q, %v", got, err)
	}
	if accepted := s.accepted.Load(); accepted != 2 {
		t.Errorf("%d connections: the rest of the long body may reach the next request", accepted)
	}
}

func TestRequestsEndWithTheirContext(t *testing.T) {
	s := serve(t, func(net.Conn, int, *http.Request) bool {
		time.Sleep(5 * time.Second)
		return false
	})
	began := time.Now()
	if _, err := ask(t, connection.NewPool(), s, "x", nil); err == nil || time.Since(began) > 4*time.Second {
		t.Errorf("%v after %s", err, time.Since(began))
	}
}

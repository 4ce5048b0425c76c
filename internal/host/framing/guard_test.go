package framing_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"sapphirespread.example/internal/host/framing"
)

// TestNothingIsReadBehindAnAmbiguousRequest sends a request that carries both a length and chunks, with another request
// behind it. The first is answered, and the connection is closed before the second is read.
func TestNothingIsReadBehindAnAmbiguousRequest(t *testing.T) {
	cases := map[string]struct {
		raw      string
		requests int
	}{
		"length and chunks": {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n", 1},
		"chunks":            {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n", 1},
		"length":            {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n12345GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			served := make(chan string, 2)
			server := httptest.NewServer(framing.Guard(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				served <- r.URL.Path
			})))
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			if _, err := io.WriteString(conn, c.raw); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(conn)
			for range c.requests {
				response, err := http.ReadResponse(reader, nil)
				if err != nil || response.StatusCode != http.StatusOK {
					t.Fatalf("no answer: %v", err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
			if _, err := reader.ReadByte(); err == nil {
				t.Error("the connection goes on after the last answer")
			}
			if len(served) != c.requests {
				t.Errorf("%d requests served, want %d", len(served), c.requests)
			}
		})
	}
}

package pipeline_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sapphirespread.example/internal/caller/pipeline"
	"sapphirespread.example/internal/host/budget"
)

// BenchmarkRefusal measures a request on a connection of its own that is served, refused for want of room, or whose
// connection is refused.
func BenchmarkRefusal(b *testing.B) {
	for name, limits := range map[string]budget.Limits{
		"served":             {},
		"request-refused":    {Bytes: budget.ConnectionBytes + 1},
		"connection-refused": {Bytes: 1},
	} {
		b.Run(name, func(b *testing.B) {
			s := newServer(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }, pipeline.WithBudget(budget.New(limits)))
			b.ReportAllocs()
			for b.Loop() {
				conn, err := net.Dial("tcp", s.listener.Addr().String())
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}
		})
	}
}

// BenchmarkKeptConnection measures a request on a kept connection.
func BenchmarkKeptConnection(b *testing.B) {
	s := newServer(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	c := s.dial(b)
	_ = c.SetDeadline(time.Time{})
	b.ReportAllocs()
	for b.Loop() {
		c.send(get("/"))
		if status, _, _ := c.receive(); status != http.StatusOK {
			b.Fatal(status)
		}
	}
}

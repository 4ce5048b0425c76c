package daemon_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestAnswerBeforeTheBodyEndsClosesTheConnection checks that a caller which is still sending its body when the answer
// comes gets the answer at once, and with it the notice that the connection closes. The server used to read the next
// request while the body was still being read, and ended the connection with a panic.
func TestAnswerBeforeTheBodyEndsClosesTheConnection(t *testing.T) {
	const bodyBytes, firstPart = 90 << 10, 70 << 10
	f := newFleet(t)
	f.publish(baseSet())
	served := f.backend("courts-1", "courts", func(w http.ResponseWriter, _ *http.Request) {
		// The server of net/http reads the body before it answers.
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nearly")
		_, _ = io.Copy(io.Discard, conn)
	})
	entry, _, _ := f.daemon("entry")
	for name, d := range map[string]*backendServer{"beside": served, "across": {daemon: entry}} {
		t.Run(name, func(t *testing.T) {
			f.eventually("an answer", func() bool {
				return ask(d.daemon, http.MethodGet, "/courts/1", "club", "").status == http.StatusOK
			})
			for range 5 {
				conn, err := net.Dial("tcp", d.daemon.CallersAddress().String())
				if err != nil {
					t.Fatal(err)
				}
				_ = conn.SetDeadline(time.Now().Add(testBound))
				reader := bufio.NewReader(conn)
				head := "POST /courts/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + secretOf("club") + "\r\n"
				_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, bodyBytes, strings.Repeat("x", firstPart))
				readEarlyAnswer(t, reader)
				_, _ = io.WriteString(conn, strings.Repeat("x", bodyBytes-firstPart))
				if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
					t.Errorf("after the answer: %v, want the end of the connection", err)
				}
				_ = conn.Close()
			}
		})
	}
}

func readEarlyAnswer(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || string(content) != "early" || !response.Close {
		t.Fatalf("status %d, %q, close %t, %v", response.StatusCode, content, response.Close, err)
	}
}

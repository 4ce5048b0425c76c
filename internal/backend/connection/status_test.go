package connection_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"sapphirespread.example/internal/backend/connection"
)

// TestAnswersWithoutAStatusAreNoAnswers guards against answers of a faulty backend server whose status is none: they reached
// callers, or were read over like informational responses, so that the next bytes counted as the answer.
func TestAnswersWithoutAStatusAreNoAnswers(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "+20", "-20", "20", "2", "2000", "2x0", "20 ", " 200", "\t200", "0x1", "２００", "", " "} {
		t.Run(fmt.Sprintf("%q", status), func(t *testing.T) {
			s := startServer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nId: x\r\nContent-Length: 3\r\n\r\nodd", status)
				writeResponse(conn, "x", "own")
				return false
			})
			if got, err := send(t, connection.NewPool(), s, "x", nil); err == nil {
				t.Errorf("%q was accepted as the answer", got)
			}
		})
	}
}

// TestStatusesWithoutAReasonAreAnswers checks the forms of a status line that the standard allows, at the ends of the range
// of final statuses.
func TestStatusesWithoutAReasonAreAnswers(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.1 200\r\n", "HTTP/1.0 200 OK\n", "HTTP/1.1 200\n", "HTTP/1.1 599 Odd\r\n"} {
		for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nId: x\r\n\r\n"} {
			s := startServer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(conn, before+line+"Id: x\r\nContent-Length: 3\r\n\r\nown")
				return true
			})
			if got, err := send(t, connection.NewPool(), s, "x", nil); err != nil || got != "own" {
				t.Errorf("%q after %q: got %q, %v", line, before, got, err)
			}
		}
	}
}

package connection_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sapphirespread.example/internal/backend/connection"
)

const (
	// uploadBytes exceeds what the buffers of a loopback connection take, so that the upload is still being written.
	uploadBytes = 64 << 20
	answerText  = "the first part of an answer"
)

// An upload is a long request body that is sent as fast as the connection takes it.
type upload struct{ left int }

func (u *upload) Read(buffer []byte) (int, error) {
	if u.left == 0 {
		return 0, io.EOF
	}
	n := min(len(buffer), u.left)
	u.left -= n
	return n, nil
}

// answerWithoutALength answers a request at once, with its ID and without a length.
func answerWithoutALength(conn net.Conn, request *http.Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", headerID, request.Header.Get(headerID), answerText)
}

// TestResetDuringAnUploadIsNoEndOfAnAnswer guards against the part of an answer without a length that passes for the whole,
// since the break of the connection was told to the writer of the upload and the reader saw an orderly end.
func TestResetDuringAnUploadIsNoEndOfAnAnswer(t *testing.T) {
	s := startServer(t, func(conn net.Conn, _ int, request *http.Request) bool {
		answerWithoutALength(conn, request)
		time.Sleep(5 * time.Millisecond) // the upload fills the buffers
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	pool := connection.NewPool()
	const rounds = 100
	whole := 0
	for i := range rounds {
		if text, err := send(t, pool, s, fmt.Sprint(i), &upload{uploadBytes}); err == nil {
			whole++
			t.Logf("round %d: %q passed for a whole answer", i, text)
		} else if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("round %d: the break is told as an orderly end: %v", i, err)
		}
	}
	if whole > 0 {
		t.Errorf("%d of %d answers that were reset passed for whole", whole, rounds)
	}
}

// TestOrderlyEndDuringAnUploadIsTheEndOfAnAnswer guards against whole answers without a length that are taken for cut
// because the upload can't be written to its end. The server closes its side after the answer and reads on, or closes the
// connection with all that it has received read.
func TestOrderlyEndDuringAnUploadIsTheEndOfAnAnswer(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn, request *http.Request){
		"reads on": func(conn *net.TCPConn, request *http.Request) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, request.Body)
		},
		"has read all": func(_ *net.TCPConn, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(conn net.Conn, _ int, request *http.Request) bool {
				answerWithoutALength(conn, request)
				end(conn.(*net.TCPConn), request)
				return false
			})
			pool := connection.NewPool()
			for i := range 30 {
				text, err := send(t, pool, s, fmt.Sprint(i), &upload{8 << 20})
				if err != nil || strings.TrimSpace(text) != answerText {
					t.Fatalf("round %d: %q, %v", i, text, err)
				}
			}
		})
	}
}

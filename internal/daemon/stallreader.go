package daemon

import (
	"io"
	"net/http"
	"time"
)

const readGrace = time.Second

// A stallReader reads a caller's body and fails where it makes no progress.
type stallReader struct {
	io.ReadCloser
	controller   *http.ResponseController
	stallTimeout time.Duration
	deadline     time.Time
}

// Read waits for the stall bound at most, and not past the call's deadline.
func (s *stallReader) Read(buffer []byte) (int, error) {
	readDeadline := s.deadline.Add(readGrace)
	if stallDeadline := time.Now().Add(s.stallTimeout); s.stallTimeout > 0 && stallDeadline.Before(readDeadline) {
		readDeadline = stallDeadline
	}
	_ = s.controller.SetReadDeadline(readDeadline)
	n, err := s.ReadCloser.Read(buffer)
	if err != nil {
		_ = s.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

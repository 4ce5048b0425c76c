package daemon

import (
	"io"
	"net/http"
	"time"
)

// readGrace is the time that a read may continue after the call's deadline.
const readGrace = time.Second

// A stallReader reads a caller's body and fails if the body makes no progress.
type stallReader struct {
	io.ReadCloser
	controller   *http.ResponseController
	stallTimeout time.Duration
	deadline     time.Time
}

// Read fails after stallTimeout without data, and at the latest readGrace after the call's deadline.
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

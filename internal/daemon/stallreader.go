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
	controller *http.ResponseController
	stall      time.Duration
	deadline   time.Time
}

// Read waits for the stall bound at most, and not past the call's deadline.
func (s *stallReader) Read(buffer []byte) (int, error) {
	until := s.deadline.Add(readGrace)
	if stalled := time.Now().Add(s.stall); s.stall > 0 && stalled.Before(until) {
		until = stalled
	}
	_ = s.controller.SetReadDeadline(until)
	n, err := s.ReadCloser.Read(buffer)
	if err != nil {
		_ = s.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

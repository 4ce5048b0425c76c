package connection

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
)

// A sender writes to a connection and keeps the error that a write has taken from it. The system reports the break of a
// connection once: if that is to a write, a read returns the end of the stream as after an orderly close.
type sender struct {
	conn net.Conn
	mu   sync.Mutex // held while a write is in progress
	err  error      // of the first write that failed
}

// Write writes to the connection.
func (s *sender) Write(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := s.conn.Write(data)
	if err != nil && s.err == nil {
		s.err = err
	}
	return n, err
}

// breakBeforeEnd returns the error of a write that broke the connection before the end of the stream that was read, or nil
// if the stream ended in order. It ends a write in progress, which may be the one that was told of the break.
func (s *sender) breakBeforeEnd() error {
	_ = s.conn.SetWriteDeadline(pastDeadline)
	s.mu.Lock()
	defer s.mu.Unlock()
	// EPIPE is the first error of a write only after the peer has closed in order.
	if s.err == nil || errors.Is(s.err, syscall.EPIPE) || errors.Is(s.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return s.err
}

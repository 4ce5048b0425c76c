package daemon

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// readGrace is the time that a read may continue after the call's deadline.
const readGrace = time.Second

// maxDiscardedBytes is the part of a body that is read after the answer, before the connection is closed.
const maxDiscardedBytes = 256 << 10

var errRequestAnswered = errors.New("the request has been answered")

// A stallReader reads a caller's body and fails if the body makes no progress.
type stallReader struct {
	io.ReadCloser
	mu           sync.Mutex // held while a read is in progress
	ended        bool
	complete     atomic.Bool // read to the end or failed
	controller   *http.ResponseController
	stallTimeout time.Duration
	deadline     time.Time
}

// Read fails after stallTimeout without data, and at the latest readGrace after the call's deadline.
func (s *stallReader) Read(buffer []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return 0, errRequestAnswered
	}
	return s.read(buffer)
}

func (s *stallReader) read(buffer []byte) (int, error) {
	readDeadline := s.deadline.Add(readGrace)
	if stallDeadline := time.Now().Add(s.stallTimeout); s.stallTimeout > 0 && stallDeadline.Before(readDeadline) {
		readDeadline = stallDeadline
	}
	_ = s.controller.SetReadDeadline(readDeadline)
	n, err := s.ReadCloser.Read(buffer)
	if err != nil {
		s.complete.Store(true)
		_ = s.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// end makes later reads fail, waits for the read in progress, if any, and discards up to maxDiscardedBytes of what is left:
// closing a connection with unread bytes resets it, and the caller could lose the answer. The answer is flushed first, so
// that a caller that is slow to send its body gets the answer at once.
func (s *stallReader) end() {
	if s.complete.Load() {
		return
	}
	_ = s.controller.Flush()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	_, _ = io.CopyN(io.Discard, unlockedReader{s}, maxDiscardedBytes)
}

// unlockedReader reads from a stallReader whose mutex the caller holds.
type unlockedReader struct{ *stallReader }

func (u unlockedReader) Read(buffer []byte) (int, error) { return u.read(buffer) }

package pipeline

import (
	"errors"
	"io"
)

var errHeadTooLarge = errors.New("the head of the request is too long")

// headRecorder reads from a connection. While it records, it keeps what was read, up to a limit.
type headRecorder struct {
	reader    io.Reader
	limit     int
	recording bool
	recorded  []byte
}

// begin starts recording. The buffered bytes were read before and belong to the head.
func (r *headRecorder) begin(buffered []byte) {
	r.recorded = append(r.recorded[:0], buffered...)
	r.recording = true
}

// end stops recording and returns the head, which all but the last unread bytes belong to.
func (r *headRecorder) end(unread int) []byte {
	r.recording = false
	return r.recorded[:max(0, len(r.recorded)-unread)]
}

func (r *headRecorder) Read(buffer []byte) (int, error) {
	if r.recording && len(r.recorded) >= r.limit {
		return 0, errHeadTooLarge
	}
	n, err := r.reader.Read(buffer)
	if r.recording {
		r.recorded = append(r.recorded, buffer[:n]...)
	}
	return n, err
}

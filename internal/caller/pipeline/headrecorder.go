package pipeline

import (
	"bytes"
	"errors"
	"io"
)

var errHeadTooLarge = errors.New("the head of the request is too long")

// maxKeptHeadBytes is the size of a head whose memory is kept for the next one.
const maxKeptHeadBytes = 4 << 10

// headRecorder reads from a connection. While it records, it keeps what was read, up to a limit and as far as the budget has
// room for the head.
type headRecorder struct {
	reader    io.Reader
	limit     int
	recording bool
	recorded  []byte
	holdings  *holdings
	// noRoom is set once the budget has refused a part of the head.
	noRoom bool
}

// begin starts recording. The buffered bytes were read before and belong to the head.
func (r *headRecorder) begin(buffered []byte, held *holdings) {
	r.recorded = append(r.recorded[:0], buffered...)
	r.recording = true
	r.holdings = held
	r.noRoom = false
	r.account(buffered)
}

// account takes the memory for a part of the head.
func (r *headRecorder) account(part []byte) {
	if !r.holdings.takeHead(len(part), bytes.Count(part, []byte("\n"))) {
		r.noRoom = true
	}
}

// end stops recording and returns the head, which all but the last unread bytes belong to.
func (r *headRecorder) end(unread int) []byte {
	r.recording = false
	head := r.recorded[:max(0, len(r.recorded)-unread)]
	if cap(r.recorded) > maxKeptHeadBytes {
		r.recorded = nil
	}
	return head
}

func (r *headRecorder) Read(buffer []byte) (int, error) {
	if r.recording && len(r.recorded) >= r.limit {
		return 0, errHeadTooLarge
	}
	if r.recording && r.noRoom {
		return 0, errNoRoom
	}
	n, err := r.reader.Read(buffer)
	if r.recording {
		r.recorded = append(r.recorded, buffer[:n]...)
		r.account(buffer[:n])
	}
	return n, err
}

package daemon

import (
	"io"
	"sync"
)

// A bodyQueue passes a request's body from the stream of another daemon to the backend server. It takes a small body
// before it is read, so that what follows on the stream is seen at once.
type bodyQueue struct {
	mu      sync.Mutex
	changed *sync.Cond
	content []byte
	ended   error
}

func newBodyQueue() *bodyQueue {
	q := &bodyQueue{}
	q.changed = sync.NewCond(&q.mu)
	return q
}

// Write waits for room and takes content; once the queue has ended, it drops it.
func (q *bodyQueue) Write(content []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.ended == nil && len(q.content) >= maxBufferedBodyBytes {
		q.changed.Wait()
	}
	if q.ended != nil {
		return 0, q.ended
	}
	q.content = append(q.content, content...)
	q.changed.Broadcast()
	return len(content), nil
}

// Read waits for content, or returns how the queue ended: as whole only after all of its content.
func (q *bodyQueue) Read(buffer []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.ended == nil && len(q.content) == 0 {
		q.changed.Wait()
	}
	if q.ended != nil && q.ended != io.EOF || len(q.content) == 0 {
		return 0, q.ended
	}
	n := copy(buffer, q.content)
	q.content = q.content[n:]
	q.changed.Broadcast()
	return n, nil
}

// end ends the queue with err, which is io.EOF for a whole body; only the first end counts.
func (q *bodyQueue) end(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended == nil {
		q.ended = err
		q.changed.Broadcast()
	}
}

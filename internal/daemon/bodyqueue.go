package daemon

import (
	"io"
	"sync"
)

// bodyQueue is a bounded pipe that carries a request body from another daemon's stream to the backend server. It
// buffers a small body before it is read, so that the frames after the body are processed without waiting for the
// backend server.
type bodyQueue struct {
	mu      sync.Mutex
	changed *sync.Cond
	content []byte
	endErr  error
}

func newBodyQueue() *bodyQueue {
	q := &bodyQueue{}
	q.changed = sync.NewCond(&q.mu)
	return q
}

// Write appends content and waits while the buffer is full. After close it discards content and returns close's error.
func (q *bodyQueue) Write(content []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.endErr == nil && len(q.content) >= maxBufferedBodyBytes {
		q.changed.Wait()
	}
	if q.endErr != nil {
		return 0, q.endErr
	}
	q.content = append(q.content, content...)
	q.changed.Broadcast()
	return len(content), nil
}

// Read waits for content. After close it returns io.EOF once all content was read, or any other error at once.
func (q *bodyQueue) Read(buffer []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.endErr == nil && len(q.content) == 0 {
		q.changed.Wait()
	}
	if q.endErr != nil && q.endErr != io.EOF || len(q.content) == 0 {
		return 0, q.endErr
	}
	n := copy(buffer, q.content)
	q.content = q.content[n:]
	q.changed.Broadcast()
	return n, nil
}

// close ends the queue with err, which is io.EOF for a complete body; later calls have no effect.
func (q *bodyQueue) close(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.endErr == nil {
		q.endErr = err
		q.changed.Broadcast()
	}
}

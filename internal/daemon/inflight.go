package daemon

import (
	"context"
	"sync"
)

// inFlight counts the requests under way, so that a stopping daemon can wait for them.
type inFlight struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed while count is 0
}

func newInFlight() *inFlight {
	idle := make(chan struct{})
	close(idle)
	return &inFlight{idle: idle}
}

func (f *inFlight) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count == 0 {
		f.idle = make(chan struct{})
	}
	f.count++
}

func (f *inFlight) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 {
		close(f.idle)
	}
}

// wait waits until no request is under way. It returns the error of ctx if ctx ends first.
func (f *inFlight) wait(ctx context.Context) error {
	f.mu.Lock()
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *inFlight) current() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

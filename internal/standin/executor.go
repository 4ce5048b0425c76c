package standin

import (
	"context"
	"sync"
	"time"
)

// executor runs a Processor in real time.
type executor struct {
	mu        sync.Mutex
	processor *Processor
	waiting   map[uint64]chan struct{}
	timer     *time.Timer
}

func newExecutor(slots int, contention float64) *executor {
	e := &executor{
		processor: NewProcessor(time.Now(), slots, contention),
		waiting:   make(map[uint64]chan struct{}),
	}
	e.timer = time.AfterFunc(time.Hour, e.wake)
	return e
}

// hold counts a request as held unless limit requests are held already.
func (e *executor) hold(limit int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.processor.Held() >= limit {
		return false
	}
	e.processor.Hold(time.Now())
	e.settle()
	return true
}

func (e *executor) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.processor.Release(time.Now())
	e.settle()
}

func (e *executor) held() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.processor.Held()
}

func (e *executor) slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.processor.SetSlowdown(time.Now(), factor)
	e.settle()
}

// work returns once a job of that length is done, or with the error of ctx.
func (e *executor) work(ctx context.Context, length time.Duration) error {
	if length <= 0 {
		return ctx.Err()
	}
	done := make(chan struct{})
	e.mu.Lock()
	id := e.processor.Start(time.Now(), length)
	e.waiting[id] = done
	e.settle()
	e.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiting, id)
	e.processor.Cancel(time.Now(), id)
	e.settle()
	return ctx.Err()
}

func (e *executor) wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
}

// settle wakes the jobs that are done and arms the timer for the next one.
func (e *executor) settle() {
	now := time.Now()
	for _, id := range e.processor.Finished(now) {
		if done, waits := e.waiting[id]; waits {
			delete(e.waiting, id)
			close(done)
		}
	}
	if next, pending := e.processor.Next(now); pending {
		e.timer.Reset(next)
	}
}

package standin

import (
	"context"
	"sync"
	"time"
)

// executor runs the jobs of a Processor in real time.
type executor struct {
	mu        sync.Mutex
	processor *Processor
	waiters   map[uint64]chan struct{}
	timer     *time.Timer
}

func newExecutor(slots int, contention float64) *executor {
	e := &executor{
		processor: NewProcessor(time.Now(), slots, contention),
		waiters:   make(map[uint64]chan struct{}),
	}
	e.timer = time.AfterFunc(time.Hour, e.onTimer)
	return e
}

// admit counts a request as in flight and reports false if limit requests are already in flight.
func (e *executor) admit(limit int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.processor.InFlight() >= limit {
		return false
	}
	e.processor.Admit(time.Now())
	e.wakeFinished()
	return true
}

// release ends a request that admit has counted.
func (e *executor) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.processor.Release(time.Now())
	e.wakeFinished()
}

func (e *executor) inFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.processor.InFlight()
}

func (e *executor) setSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.processor.SetSlowdown(time.Now(), factor)
	e.wakeFinished()
}

// run executes a job that takes work at full speed and returns when it finishes, or returns the
// error of ctx if ctx ends first.
func (e *executor) run(ctx context.Context, work time.Duration) error {
	if work <= 0 {
		return ctx.Err()
	}
	done := make(chan struct{})
	e.mu.Lock()
	id := e.processor.Start(time.Now(), work)
	e.waiters[id] = done
	e.wakeFinished()
	e.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiters, id)
	e.processor.Cancel(time.Now(), id)
	e.wakeFinished()
	return ctx.Err()
}

func (e *executor) onTimer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wakeFinished()
}

// wakeFinished wakes the waiters of finished jobs and sets the timer for the next job to finish.
func (e *executor) wakeFinished() {
	now := time.Now()
	for _, id := range e.processor.PopFinished(now) {
		if done, waiting := e.waiters[id]; waiting {
			delete(e.waiters, id)
			close(done)
		}
	}
	if next, pending := e.processor.NextFinish(now); pending {
		e.timer.Reset(next)
	}
}

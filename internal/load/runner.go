package load

import (
	"context"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/google/uuid"

	"sapphirespread.example/internal/standin"
)

// A Sender makes one attempt at a request.
type Sender interface {
	Send(ctx context.Context, r Request) (outcome Outcome, retryAfter time.Duration)
}

// A Runner carries out a plan.
type Runner struct {
	plan     Plan
	sender   Sender
	retrier  func(at time.Duration) Retrier
	crash    string
	crashing func(index int) bool
}

// A RunnerOption sets one property of a Runner.
type RunnerOption func(*Runner)

// WithRetrier sets how callers retry requests that arrive at a time of the run; they don't by default.
func WithRetrier(retrier func(at time.Duration) Retrier) RunnerOption {
	return func(r *Runner) { r.retrier = retrier }
}

// WithCrashing marks the requests that crash the backend servers of service, by their number.
func WithCrashing(service string, crashing func(index int) bool) RunnerOption {
	return func(r *Runner) { r.crash, r.crashing = service, crashing }
}

// NewRunner returns a Runner that sends the requests of plan.
func NewRunner(plan Plan, sender Sender, opts ...RunnerOption) *Runner {
	r := &Runner{
		plan:     plan,
		sender:   sender,
		retrier:  func(time.Duration) Retrier { return Retrier{Attempts: 1} },
		crashing: func(int) bool { return false },
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Run sends each request at its time, however slow the answers are, and returns once the last is answered.
func (r *Runner) Run(ctx context.Context, recorder *Recorder) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for i, arrival := range r.plan.Arrivals() {
		if !pause(ctx, time.Until(recorder.start.Add(arrival.At))) {
			return
		}
		pending.Go(func() { r.request(ctx, recorder, i, arrival) })
	}
}

// request makes attempts until one is good or the caller gives up.
func (r *Runner) request(ctx context.Context, recorder *Recorder, index int, arrival Arrival) {
	request := r.build(index, arrival)
	retrier := r.retrier(arrival.At)
	for attempt := 1; ; attempt++ {
		sent := time.Now()
		within := recorder.sent(arrival, sent, attempt)
		outcome, retryAfter := r.sender.Send(ctx, request)
		if ctx.Err() != nil {
			return
		}
		recorder.ended(arrival, sent, time.Now(), within, outcome)
		next, again := retrier.next(attempt, outcome, retryAfter)
		if !again || !pause(ctx, next) {
			return
		}
	}
}

func (r *Runner) build(index int, arrival Arrival) Request {
	route := r.plan.Routes[arrival.Route]
	query := url.Values{"call": {fmt.Sprintf("%d-%d", r.plan.Seed, index)}}
	if r.crashing(index) {
		query.Set(standin.CrashParameter, r.crash)
	}
	request := Request{Route: route, Workspace: r.plan.Workspaces[arrival.Workspace], URI: route.Path + "?" + query.Encode()}
	if !route.Repeatable {
		request.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	return request
}

func pause(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

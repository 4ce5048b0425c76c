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

// Sender makes one attempt at a request and returns its outcome and the delay after which the server allows a
// retry.
type Sender interface {
	Send(ctx context.Context, r Request) (outcome Outcome, retryAfter time.Duration)
}

// Runner sends the requests of a Plan and records their outcomes.
type Runner struct {
	plan          Plan
	sender        Sender
	retryPolicyAt func(at time.Duration) RetryPolicy
	crashService  string
	crashes       func(index int) bool
}

// RunnerOption sets one property of a Runner.
type RunnerOption func(*Runner)

// WithRetryPolicy sets the retry policy by the arrival time of a request; by default, callers don't retry.
func WithRetryPolicy(policyAt func(at time.Duration) RetryPolicy) RunnerOption {
	return func(r *Runner) { r.retryPolicyAt = policyAt }
}

// WithCrashing marks the requests that crash the backend servers of service, by their index in Plan.Arrivals.
func WithCrashing(service string, crashes func(index int) bool) RunnerOption {
	return func(r *Runner) { r.crashService, r.crashes = service, crashes }
}

// NewRunner returns a Runner that sends the requests of plan through sender.
func NewRunner(plan Plan, sender Sender, opts ...RunnerOption) *Runner {
	r := &Runner{
		plan:          plan,
		sender:        sender,
		retryPolicyAt: func(time.Duration) RetryPolicy { return RetryPolicy{Attempts: 1} },
		crashes:       func(int) bool { return false },
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Run sends each request at its arrival time, regardless of pending responses, and returns once all requests have
// ended.
func (r *Runner) Run(ctx context.Context, recorder *Recorder) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for i, arrival := range r.plan.Arrivals() {
		if !sleep(ctx, time.Until(recorder.start.Add(arrival.At))) {
			return
		}
		pending.Go(func() { r.sendUntilGood(ctx, recorder, i, arrival) })
	}
}

// sendUntilGood makes attempts until one is good or the retry policy allows no more.
func (r *Runner) sendUntilGood(ctx context.Context, recorder *Recorder, index int, arrival Arrival) {
	request := r.buildRequest(index, arrival)
	policy := r.retryPolicyAt(arrival.At)
	for attempt := 1; ; attempt++ {
		sent := time.Now()
		within := recorder.recordAttempt(arrival, sent, attempt)
		outcome, retryAfter := r.sender.Send(ctx, request)
		if ctx.Err() != nil {
			return
		}
		recorder.recordOutcome(arrival, sent, time.Now(), within, outcome)
		delay, retry := policy.nextDelay(attempt, outcome, retryAfter)
		if !retry || !sleep(ctx, delay) {
			return
		}
	}
}

func (r *Runner) buildRequest(index int, arrival Arrival) Request {
	route := r.plan.Routes[arrival.Route]
	query := url.Values{"call": {fmt.Sprintf("%d-%d", r.plan.Seed, index)}}
	if r.crashes(index) {
		query.Set(standin.CrashParameter, r.crashService)
	}
	request := Request{Route: route, Workspace: r.plan.Workspaces[arrival.Workspace], URI: route.Path + "?" + query.Encode()}
	if !route.Repeatable {
		request.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	return request
}

// sleep waits for length and reports whether ctx is still active.
func sleep(ctx context.Context, length time.Duration) bool {
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

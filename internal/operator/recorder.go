package operator

import (
	"context"
	"fmt"
	"sync"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/membership/evacuation"
)

// A Recorder forwards all calls to an API and records those that request a change.
type Recorder struct {
	API
	mu    sync.Mutex
	calls []Call
}

// A Call is a recorded change request; Detail describes what the change applies to.
type Call struct {
	Operation string
	Detail    string
}

// NewRecorder returns a Recorder that forwards calls to an API.
func NewRecorder(api API) *Recorder { return &Recorder{API: api} }

// Calls returns the recorded change requests in order.
func (r *Recorder) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call{}, r.calls...)
}

// Publish records the base revision and forwards the request.
func (r *Recorder) Publish(ctx context.Context, p configuration.PublishRequest) (configuration.PublishResult, error) {
	r.record("publish", fmt.Sprintf("on revision %d", p.Base))
	return r.API.Publish(ctx, p)
}

// Rollback records both revisions and forwards the request.
func (r *Recorder) Rollback(ctx context.Context, rollback Rollback) (configuration.PublishResult, error) {
	r.record("rollback", fmt.Sprintf("to revision %d on revision %d", rollback.To, rollback.Base))
	return r.API.Rollback(ctx, rollback)
}

// Release records the fingerprint and forwards the request.
func (r *Recorder) Release(ctx context.Context, fingerprint string) error {
	r.record("release", fingerprint)
	return r.API.Release(ctx, fingerprint)
}

// OrderFailureDomain records the order and forwards the request.
func (r *Recorder) OrderFailureDomain(ctx context.Context, order evacuation.Order) error {
	r.record("order-failure-domain", fmt.Sprintf("%s out of use: %t", order.Domain, order.Out))
	return r.API.OrderFailureDomain(ctx, order)
}

// AddMember records the member and forwards the request.
func (r *Recorder) AddMember(ctx context.Context, m NewMember) error {
	r.record("add-member", m.Name+" at "+m.Address.String())
	return r.API.AddMember(ctx, m)
}

// PromoteMember records the name and forwards the request.
func (r *Recorder) PromoteMember(ctx context.Context, name string) error {
	r.record("promote-member", name)
	return r.API.PromoteMember(ctx, name)
}

// RemoveMember records the name and forwards the request.
func (r *Recorder) RemoveMember(ctx context.Context, name string) error {
	r.record("remove-member", name)
	return r.API.RemoveMember(ctx, name)
}

func (r *Recorder) record(operation, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, Call{operation, detail})
}

package operator

import (
	"context"
	"fmt"
	"sync"

	"sapphirespread.example/configuration"
)

// A Recorder passes all calls on and keeps those that ask for a change, in order.
type Recorder struct {
	API
	mu    sync.Mutex
	calls []Call
}

// A Call is one change that was asked for; Detail names what it was about.
type Call struct {
	Operation string
	Detail    string
}

// NewRecorder returns a recorder in front of an API.
func NewRecorder(api API) *Recorder { return &Recorder{API: api} }

// Calls returns the changes that were asked for.
func (r *Recorder) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call{}, r.calls...)
}

// Publish records the base and passes the publish on.
func (r *Recorder) Publish(ctx context.Context, p configuration.PublishRequest) (configuration.PublishResult, error) {
	r.record("publish", fmt.Sprintf("on revision %d", p.Base))
	return r.API.Publish(ctx, p)
}

// Rollback records the revisions and passes the rollback on.
func (r *Recorder) Rollback(ctx context.Context, back Rollback) (configuration.PublishResult, error) {
	r.record("rollback", fmt.Sprintf("to revision %d on revision %d", back.To, back.Base))
	return r.API.Rollback(ctx, back)
}

// Release records the fingerprint and passes the release on.
func (r *Recorder) Release(ctx context.Context, fingerprint string) error {
	r.record("release", fingerprint)
	return r.API.Release(ctx, fingerprint)
}

// AddMember records the member and passes it on.
func (r *Recorder) AddMember(ctx context.Context, m NewMember) error {
	r.record("add-member", m.Name+" at "+m.Address.String())
	return r.API.AddMember(ctx, m)
}

// PromoteMember records the name and passes it on.
func (r *Recorder) PromoteMember(ctx context.Context, name string) error {
	r.record("promote-member", name)
	return r.API.PromoteMember(ctx, name)
}

// RemoveMember records the name and passes it on.
func (r *Recorder) RemoveMember(ctx context.Context, name string) error {
	r.record("remove-member", name)
	return r.API.RemoveMember(ctx, name)
}

func (r *Recorder) record(operation, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, Call{operation, detail})
}

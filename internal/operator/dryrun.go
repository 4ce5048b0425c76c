package operator

import (
	"context"
	"fmt"
	"time"

	"sapphirespread.example/configuration"
)

// noTime stands where the time of a publish is not told to anyone.
var noTime time.Time

// A DryRun answers a publish as the leader would at this time, and changes nothing.
type DryRun struct{ API }

// NewDryRun returns an API that reads through to another and changes nothing.
func NewDryRun(api API) *DryRun { return &DryRun{api} }

// Publish returns the answer that the publish would get now.
func (d *DryRun) Publish(ctx context.Context, p configuration.PublishRequest) (configuration.PublishResult, error) {
	current, err := d.Current(ctx)
	if err != nil {
		return configuration.PublishResult{}, err
	}
	if p.Base < current.Number {
		return configuration.PublishResult{Kind: configuration.Conflict, Revision: current.Number, Winner: p.Base + 1}, nil
	}
	registry := configuration.NewRegistry()
	registry.Publish(noTime, configuration.PublishRequest{ID: "current", Set: current.Set})
	base := p.Base
	p.Base = registry.Revision()
	if base > current.Number {
		p.Base++
	}
	published := registry.Publish(noTime, p)
	published.Revision = current.Number
	if published.Kind == configuration.Accepted {
		published.Revision++
	}
	return published, nil
}

// Rollback returns the answer that the rollback would get now.
func (d *DryRun) Rollback(ctx context.Context, r Rollback) (configuration.PublishResult, error) {
	old, err := d.Revision(ctx, r.To)
	if err != nil {
		return configuration.PublishResult{}, err
	}
	return d.Publish(ctx, configuration.PublishRequest{ID: r.ID, Base: r.Base, Set: old.Set})
}

// Release checks that the fingerprint is quarantined.
func (d *DryRun) Release(ctx context.Context, fingerprint string) error {
	entries, err := d.Quarantine(ctx)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if entry.Fingerprint == fingerprint {
			return nil
		}
	}
	return NewFailure(NotFound, fmt.Sprintf("no entry has the fingerprint %s", fingerprint))
}

// AddMember does nothing.
func (d *DryRun) AddMember(context.Context, NewMember) error { return nil }

// PromoteMember checks that the member is there.
func (d *DryRun) PromoteMember(ctx context.Context, name string) error { return d.member(ctx, name) }

// RemoveMember checks that the member is there.
func (d *DryRun) RemoveMember(ctx context.Context, name string) error { return d.member(ctx, name) }

func (d *DryRun) member(ctx context.Context, name string) error {
	members, err := d.Members(ctx)
	if err != nil {
		return err
	}
	for _, m := range members {
		if m.Name == name {
			return nil
		}
	}
	return NewFailure(NotFound, fmt.Sprintf("no member is named %s", name))
}

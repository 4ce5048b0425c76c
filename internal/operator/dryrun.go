package operator

import (
	"context"
	"fmt"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/membership/evacuation"
)

// unusedTime is the publish time of a dry run, which is never reported.
var unusedTime time.Time

// A DryRun is an API that evaluates changes against the current state without applying them.
type DryRun struct{ API }

// NewDryRun returns a DryRun that reads from another API.
func NewDryRun(api API) *DryRun { return &DryRun{api} }

// Publish returns the result that the publish would have now.
func (d *DryRun) Publish(ctx context.Context, p configuration.PublishRequest) (configuration.PublishResult, error) {
	current, err := d.Current(ctx)
	if err != nil {
		return configuration.PublishResult{}, err
	}
	if p.Base < current.Number {
		return configuration.PublishResult{Kind: configuration.Conflict, Revision: current.Number, Winner: p.Base + 1}, nil
	}
	registry := configuration.NewRegistry()
	registry.Publish(unusedTime, configuration.PublishRequest{ID: "current", Set: current.Set})
	base := p.Base
	p.Base = registry.Revision()
	if base > current.Number {
		p.Base++
	}
	result := registry.Publish(unusedTime, p)
	result.Revision = current.Number
	if result.Kind == configuration.Accepted {
		result.Revision++
	}
	return result, nil
}

// Rollback returns the result that the rollback would have now.
func (d *DryRun) Rollback(ctx context.Context, r Rollback) (configuration.PublishResult, error) {
	old, err := d.Revision(ctx, r.To)
	if err != nil {
		return configuration.PublishResult{}, err
	}
	return d.Publish(ctx, configuration.PublishRequest{ID: r.ID, Base: r.Base, Set: old.Set})
}

// Release returns a Failure of kind NotFound if the fingerprint is not quarantined.
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

// OrderFailureDomain returns a Failure of kind Invalid if the order can't be taken.
func (d *DryRun) OrderFailureDomain(_ context.Context, order evacuation.Order) error {
	if err := order.Validate(); err != nil {
		return NewFailure(Invalid, err.Error())
	}
	return nil
}

// AddMember returns nil and adds no member.
func (d *DryRun) AddMember(context.Context, NewMember) error { return nil }

// PromoteMember returns a Failure of kind NotFound if the member does not exist.
func (d *DryRun) PromoteMember(ctx context.Context, name string) error {
	return d.requireMember(ctx, name)
}

// RemoveMember returns a Failure of kind NotFound if the member does not exist.
func (d *DryRun) RemoveMember(ctx context.Context, name string) error {
	return d.requireMember(ctx, name)
}

func (d *DryRun) requireMember(ctx context.Context, name string) error {
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

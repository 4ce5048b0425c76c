package operator

import (
	"context"

	"sapphirespread.example/configuration"
)

// An API is a System with the operations that are derived from it.
type API interface {
	System
	// Rollback publishes the content of an older revision as a new one.
	Rollback(ctx context.Context, r Rollback) (configuration.PublishResult, error)
	// Diff returns the changes from one kept revision to another.
	Diff(ctx context.Context, from, to uint64) ([]configuration.Change, error)
}

// A Rollback is a request to publish the content of revision To on the base revision Base.
type Rollback struct {
	ID      string `json:"id"`
	Base    uint64 `json:"base"`
	To      uint64 `json:"to"`
	Author  string `json:"author,omitempty"`
	Comment string `json:"comment,omitempty"`
}

// NewAPI returns an API that derives its further operations from a system.
func NewAPI(s System) API { return systemAPI{s} }

type systemAPI struct{ System }

func (a systemAPI) Rollback(ctx context.Context, r Rollback) (configuration.PublishResult, error) {
	old, err := a.Revision(ctx, r.To)
	if err != nil {
		return configuration.PublishResult{}, err
	}
	return a.Publish(ctx, configuration.PublishRequest{
		ID: r.ID, Base: r.Base, Author: r.Author, Comment: r.Comment, Set: old.Set,
	})
}

func (a systemAPI) Diff(ctx context.Context, from, to uint64) ([]configuration.Change, error) {
	before, err := a.Revision(ctx, from)
	if err != nil {
		return nil, err
	}
	after, err := a.Revision(ctx, to)
	if err != nil {
		return nil, err
	}
	return after.Set.Changes(before.Set), nil
}

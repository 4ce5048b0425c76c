package operator

import (
	"context"

	"sapphirespread.example/configuration"
)

// An API is all that the commands use: a System with what the server composes of it.
type API interface {
	System
	// Rollback publishes the content of an older revision as a new one.
	Rollback(ctx context.Context, r Rollback) (configuration.PublishResult, error)
	// Diff returns the changes that lead from one kept revision to another.
	Diff(ctx context.Context, from, to uint64) ([]configuration.Change, error)
}

// A Rollback asks for the content of revision To to come into force again on the revision Base.
type Rollback struct {
	ID      string `json:"id"`
	Base    uint64 `json:"base"`
	To      uint64 `json:"to"`
	Author  string `json:"author,omitempty"`
	Comment string `json:"comment,omitempty"`
}

// NewAPI returns the API of a system.
func NewAPI(s System) API { return composed{s} }

type composed struct{ System }

func (c composed) Rollback(ctx context.Context, r Rollback) (configuration.PublishResult, error) {
	old, err := c.Revision(ctx, r.To)
	if err != nil {
		return configuration.PublishResult{}, err
	}
	return c.Publish(ctx, configuration.PublishRequest{
		ID: r.ID, Base: r.Base, Author: r.Author, Comment: r.Comment, Set: old.Set,
	})
}

func (c composed) Diff(ctx context.Context, from, to uint64) ([]configuration.Change, error) {
	before, err := c.Revision(ctx, from)
	if err != nil {
		return nil, err
	}
	after, err := c.Revision(ctx, to)
	if err != nil {
		return nil, err
	}
	return after.Set.Changes(before.Set), nil
}

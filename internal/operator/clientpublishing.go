package operator

import (
	"context"
	"fmt"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/api/oas"
)

// Publish asks for a set to come into force.
func (c *Client) Publish(ctx context.Context, p configuration.PublishRequest) (configuration.PublishResult, error) {
	request, err := publicationTo(p)
	if err != nil {
		return configuration.PublishResult{}, err
	}
	answer, err := call(ctx, c, func(ctx context.Context, client *oas.Client) (oas.PublishRes, error) {
		return client.Publish(ctx, request)
	})
	if err != nil {
		return configuration.PublishResult{}, err
	}
	switch answer := answer.(type) {
	case *oas.PublishOK:
		return publishedOf((*oas.Published)(answer)), nil
	case *oas.PublishConflict:
		return publishedOf((*oas.Published)(answer)), nil
	case *oas.PublishRequestEntityTooLarge:
		return publishedOf((*oas.Published)(answer)), nil
	case *oas.PublishUnprocessableEntity:
		return publishedOf((*oas.Published)(answer)), nil
	}
	return configuration.PublishResult{}, fmt.Errorf("publishing: unknown answer %T", answer)
}

// Rollback asks for the content of an older revision to come into force again.
func (c *Client) Rollback(ctx context.Context, r Rollback) (configuration.PublishResult, error) {
	request := &oas.Rollback{
		ID: r.ID, Base: r.Base, To: r.To, Author: optional(r.Author), Comment: optional(r.Comment),
	}
	answer, err := call(ctx, c, func(ctx context.Context, client *oas.Client) (oas.RollbackRes, error) {
		return client.Rollback(ctx, request)
	})
	if err != nil {
		return configuration.PublishResult{}, err
	}
	switch answer := answer.(type) {
	case *oas.RollbackOK:
		return publishedOf((*oas.Published)(answer)), nil
	case *oas.RollbackConflict:
		return publishedOf((*oas.Published)(answer)), nil
	case *oas.RollbackRequestEntityTooLarge:
		return publishedOf((*oas.Published)(answer)), nil
	case *oas.RollbackUnprocessableEntity:
		return publishedOf((*oas.Published)(answer)), nil
	}
	return configuration.PublishResult{}, fmt.Errorf("rolling back: unknown answer %T", answer)
}

// Current returns the revision in force.
func (c *Client) Current(ctx context.Context) (Revision, error) {
	answer, err := call(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.Revision, error) {
		return client.Current(ctx)
	})
	if err != nil {
		return Revision{}, err
	}
	return revisionOf(answer)
}

// Revision returns a kept revision.
func (c *Client) Revision(ctx context.Context, number uint64) (Revision, error) {
	answer, err := call(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.Revision, error) {
		return client.Revision(ctx, oas.RevisionParams{Revision: number})
	})
	if err != nil {
		return Revision{}, err
	}
	return revisionOf(answer)
}

// History returns who published each kept revision, the oldest first.
func (c *Client) History(ctx context.Context) ([]configuration.HistoryEntry, error) {
	answer, err := call(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.History, error) {
		return client.History(ctx)
	})
	if err != nil {
		return nil, err
	}
	return mapped(answer.Entries, entryOf), nil
}

// Diff returns the changes that lead from one kept revision to another.
func (c *Client) Diff(ctx context.Context, from, to uint64) ([]configuration.Change, error) {
	answer, err := call(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.Diff, error) {
		return client.Diff(ctx, oas.DiffParams{From: from, To: to})
	})
	if err != nil {
		return nil, err
	}
	return changesOf(answer.Changes)
}

func publicationTo(p configuration.PublishRequest) (*oas.Publication, error) {
	whole := p.Changes == nil
	if whole {
		p.Changes = p.Set.Changes(configuration.Set{})
	}
	changes, err := changesTo(p.Changes)
	return &oas.Publication{
		ID:      p.ID,
		Base:    p.Base,
		Author:  optional(p.Author),
		Comment: optional(p.Comment),
		Whole:   whole,
		Changes: changes,
	}, err
}

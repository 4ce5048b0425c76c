package operator

import (
	"context"
	"fmt"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/api/oas"
)

// Publish publishes a set or changes on the base revision of the request.
func (c *Client) Publish(ctx context.Context, p configuration.PublishRequest) (configuration.PublishResult, error) {
	request, err := encodePublishRequest(p)
	if err != nil {
		return configuration.PublishResult{}, err
	}
	response, err := callWithRetry(ctx, c, func(ctx context.Context, client *oas.Client) (oas.PublishRes, error) {
		return client.Publish(ctx, request)
	})
	if err != nil {
		return configuration.PublishResult{}, err
	}
	switch response := response.(type) {
	case *oas.PublishOK:
		return decodePublishResult((*oas.Published)(response)), nil
	case *oas.PublishConflict:
		return decodePublishResult((*oas.Published)(response)), nil
	case *oas.PublishRequestEntityTooLarge:
		return decodePublishResult((*oas.Published)(response)), nil
	case *oas.PublishUnprocessableEntity:
		return decodePublishResult((*oas.Published)(response)), nil
	}
	return configuration.PublishResult{}, fmt.Errorf("publishing: unknown answer %T", response)
}

// Rollback publishes the content of an older revision as a new one.
func (c *Client) Rollback(ctx context.Context, r Rollback) (configuration.PublishResult, error) {
	request := &oas.Rollback{
		ID: r.ID, Base: r.Base, To: r.To, Author: optionalString(r.Author), Comment: optionalString(r.Comment),
	}
	response, err := callWithRetry(ctx, c, func(ctx context.Context, client *oas.Client) (oas.RollbackRes, error) {
		return client.Rollback(ctx, request)
	})
	if err != nil {
		return configuration.PublishResult{}, err
	}
	switch response := response.(type) {
	case *oas.RollbackOK:
		return decodePublishResult((*oas.Published)(response)), nil
	case *oas.RollbackConflict:
		return decodePublishResult((*oas.Published)(response)), nil
	case *oas.RollbackRequestEntityTooLarge:
		return decodePublishResult((*oas.Published)(response)), nil
	case *oas.RollbackUnprocessableEntity:
		return decodePublishResult((*oas.Published)(response)), nil
	}
	return configuration.PublishResult{}, fmt.Errorf("rolling back: unknown answer %T", response)
}

// Current returns the revision in force.
func (c *Client) Current(ctx context.Context) (Revision, error) {
	response, err := callWithRetry(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.Revision, error) {
		return client.Current(ctx)
	})
	if err != nil {
		return Revision{}, err
	}
	return decodeRevision(response)
}

// Revision returns a revision, or a Failure of kind NotFound if it is not kept.
func (c *Client) Revision(ctx context.Context, number uint64) (Revision, error) {
	response, err := callWithRetry(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.Revision, error) {
		return client.Revision(ctx, oas.RevisionParams{Revision: number})
	})
	if err != nil {
		return Revision{}, err
	}
	return decodeRevision(response)
}

// History returns the publication record of each kept revision, oldest first.
func (c *Client) History(ctx context.Context) ([]configuration.HistoryEntry, error) {
	response, err := callWithRetry(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.History, error) {
		return client.History(ctx)
	})
	if err != nil {
		return nil, err
	}
	return mapSlice(response.Entries, decodeHistoryEntry), nil
}

// Diff returns the changes from one kept revision to another.
func (c *Client) Diff(ctx context.Context, from, to uint64) ([]configuration.Change, error) {
	response, err := callWithRetry(ctx, c, func(ctx context.Context, client *oas.Client) (*oas.Diff, error) {
		return client.Diff(ctx, oas.DiffParams{From: from, To: to})
	})
	if err != nil {
		return nil, err
	}
	return decodeChanges(response.Changes)
}

func encodePublishRequest(p configuration.PublishRequest) (*oas.Publication, error) {
	whole := p.Changes == nil
	if whole {
		p.Changes = p.Set.Changes(configuration.Set{})
	}
	changes, err := encodeChanges(p.Changes)
	return &oas.Publication{
		ID:      p.ID,
		Base:    p.Base,
		Author:  optionalString(p.Author),
		Comment: optionalString(p.Comment),
		Whole:   whole,
		Changes: changes,
	}, err
}

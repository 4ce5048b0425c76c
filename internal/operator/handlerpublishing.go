package operator

import (
	"context"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/api/oas"
)

func (h *handler) Publish(ctx context.Context, req *oas.Publication) (oas.PublishRes, error) {
	publish, err := publishOf(req)
	if err != nil {
		return nil, err
	}
	published, err := h.api.Publish(ctx, publish)
	if err != nil {
		return nil, err
	}
	answer := publishedTo(published)
	switch published.Kind {
	case configuration.Accepted:
		return (*oas.PublishOK)(answer), nil
	case configuration.Conflict:
		return (*oas.PublishConflict)(answer), nil
	case configuration.TooLarge:
		return (*oas.PublishRequestEntityTooLarge)(answer), nil
	}
	return (*oas.PublishUnprocessableEntity)(answer), nil
}

func (h *handler) Rollback(ctx context.Context, req *oas.Rollback) (oas.RollbackRes, error) {
	published, err := h.api.Rollback(ctx, Rollback{
		ID: req.ID, Base: req.Base, To: req.To, Author: req.Author.Or(""), Comment: req.Comment.Or(""),
	})
	if err != nil {
		return nil, err
	}
	answer := publishedTo(published)
	switch published.Kind {
	case configuration.Accepted:
		return (*oas.RollbackOK)(answer), nil
	case configuration.Conflict:
		return (*oas.RollbackConflict)(answer), nil
	case configuration.TooLarge:
		return (*oas.RollbackRequestEntityTooLarge)(answer), nil
	}
	return (*oas.RollbackUnprocessableEntity)(answer), nil
}

func (h *handler) Current(ctx context.Context) (*oas.Revision, error) {
	revision, err := h.api.Current(ctx)
	return revisionTo(revision, err)
}

func (h *handler) Revision(ctx context.Context, params oas.RevisionParams) (*oas.Revision, error) {
	revision, err := h.api.Revision(ctx, params.Revision)
	return revisionTo(revision, err)
}

func (h *handler) History(ctx context.Context) (*oas.History, error) {
	entries, err := h.api.History(ctx)
	if err != nil {
		return nil, err
	}
	return &oas.History{Entries: mapped(entries, entryTo)}, nil
}

func (h *handler) Diff(ctx context.Context, params oas.DiffParams) (*oas.Diff, error) {
	changes, err := h.api.Diff(ctx, params.From, params.To)
	if err != nil {
		return nil, err
	}
	encoded, err := changesTo(changes)
	return &oas.Diff{From: params.From, To: params.To, Changes: encoded}, err
}

// publishOf returns the publish that a request asks for.
func publishOf(req *oas.Publication) (configuration.PublishRequest, error) {
	changes, err := changesOf(req.Changes)
	if err != nil {
		return configuration.PublishRequest{}, NewFailure(Invalid, err.Error())
	}
	publish := configuration.PublishRequest{
		ID: req.ID, Base: req.Base, Author: req.Author.Or(""), Comment: req.Comment.Or(""),
	}
	if !req.Whole {
		publish.Changes = changes
		return publish, nil
	}
	publish.Set, err = configuration.Set{}.Apply(changes)
	if err != nil {
		return configuration.PublishRequest{}, NewFailure(Invalid, err.Error())
	}
	return publish, nil
}

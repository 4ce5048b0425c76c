package operator

import (
	"context"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/api/oas"
)

func (h *handler) Publish(ctx context.Context, req *oas.Publication) (oas.PublishRes, error) {
	request, err := decodePublishRequest(req)
	if err != nil {
		return nil, err
	}
	result, err := h.api.Publish(ctx, request)
	if err != nil {
		return nil, err
	}
	response := encodePublishResult(result)
	switch result.Kind {
	case configuration.Accepted:
		return (*oas.PublishOK)(response), nil
	case configuration.Conflict:
		return (*oas.PublishConflict)(response), nil
	case configuration.TooLarge:
		return (*oas.PublishRequestEntityTooLarge)(response), nil
	}
	return (*oas.PublishUnprocessableEntity)(response), nil
}

func (h *handler) Rollback(ctx context.Context, req *oas.Rollback) (oas.RollbackRes, error) {
	result, err := h.api.Rollback(ctx, Rollback{
		ID: req.ID, Base: req.Base, To: req.To, Author: req.Author.Or(""), Comment: req.Comment.Or(""),
	})
	if err != nil {
		return nil, err
	}
	response := encodePublishResult(result)
	switch result.Kind {
	case configuration.Accepted:
		return (*oas.RollbackOK)(response), nil
	case configuration.Conflict:
		return (*oas.RollbackConflict)(response), nil
	case configuration.TooLarge:
		return (*oas.RollbackRequestEntityTooLarge)(response), nil
	}
	return (*oas.RollbackUnprocessableEntity)(response), nil
}

func (h *handler) Current(ctx context.Context) (*oas.Revision, error) {
	revision, err := h.api.Current(ctx)
	return encodeRevision(revision, err)
}

func (h *handler) Revision(ctx context.Context, params oas.RevisionParams) (*oas.Revision, error) {
	revision, err := h.api.Revision(ctx, params.Revision)
	return encodeRevision(revision, err)
}

func (h *handler) History(ctx context.Context) (*oas.History, error) {
	entries, err := h.api.History(ctx)
	if err != nil {
		return nil, err
	}
	return &oas.History{Entries: mapSlice(entries, encodeHistoryEntry)}, nil
}

func (h *handler) Diff(ctx context.Context, params oas.DiffParams) (*oas.Diff, error) {
	changes, err := h.api.Diff(ctx, params.From, params.To)
	if err != nil {
		return nil, err
	}
	encoded, err := encodeChanges(changes)
	return &oas.Diff{From: params.From, To: params.To, Changes: encoded}, err
}

// decodePublishRequest returns the decoded publish request, or a Failure of kind Invalid if a change is malformed.
func decodePublishRequest(req *oas.Publication) (configuration.PublishRequest, error) {
	changes, err := decodeChanges(req.Changes)
	if err != nil {
		return configuration.PublishRequest{}, NewFailure(Invalid, err.Error())
	}
	request := configuration.PublishRequest{
		ID: req.ID, Base: req.Base, Author: req.Author.Or(""), Comment: req.Comment.Or(""),
	}
	if !req.Whole {
		request.Changes = changes
		return request, nil
	}
	request.Set, err = configuration.Set{}.Apply(changes)
	if err != nil {
		return configuration.PublishRequest{}, NewFailure(Invalid, err.Error())
	}
	return request, nil
}

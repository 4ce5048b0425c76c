package operator

import (
	"context"

	"sapphirespread.example/internal/api/oas"
)

// processHandler implements the operations that every process serves.
type processHandler struct {
	oas.UnimplementedHandler
	process Process
}

func (h *processHandler) Live(context.Context) error { return nil }

func (h *processHandler) Ready(ctx context.Context) error { return h.process.Ready(ctx) }

func (h *processHandler) Timeline(ctx context.Context) (oas.TimelineOK, error) {
	events, err := h.process.Timeline(ctx)
	return oas.TimelineOK{Data: events}, err
}

func (h *processHandler) NewError(_ context.Context, err error) *oas.FailedStatusCode {
	return encodeFailure(FailureOf(err))
}

func encodeFailure(f *Failure) *oas.FailedStatusCode {
	response := oas.Failure{Kind: oas.FailureKind(f.Kind), Detail: f.Detail}
	if f.Leader != "" {
		response.Leader.SetTo(f.Leader)
	}
	if f.LeaderAddress.IsValid() {
		response.LeaderAddress.SetTo(f.LeaderAddress.String())
	}
	return &oas.FailedStatusCode{StatusCode: f.Status(), Response: response}
}

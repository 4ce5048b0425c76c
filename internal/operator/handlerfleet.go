package operator

import (
	"context"
	"net/netip"

	"sapphirespread.example/internal/api/oas"
	"sapphirespread.example/internal/membership/evacuation"
)

func (h *handler) Targets(ctx context.Context) (*oas.Targets, error) {
	targets, err := h.api.Targets(ctx)
	if err != nil {
		return nil, err
	}
	return &oas.Targets{Targets: mapSlice(targets, encodeTarget)}, nil
}

func (h *handler) Quarantine(ctx context.Context) (*oas.Quarantine, error) {
	entries, err := h.api.Quarantine(ctx)
	if err != nil {
		return nil, err
	}
	return &oas.Quarantine{Entries: mapSlice(entries, encodeQuarantineEntry)}, nil
}

func (h *handler) Release(ctx context.Context, params oas.ReleaseParams) error {
	return h.api.Release(ctx, params.Fingerprint)
}

func (h *handler) FailureDomains(ctx context.Context) (*oas.FailureDomains, error) {
	domains, err := h.api.FailureDomains(ctx)
	if err != nil {
		return nil, err
	}
	return encodeFailureDomains(domains), nil
}

func (h *handler) TakeFailureDomainOut(ctx context.Context, params oas.TakeFailureDomainOutParams) error {
	return h.api.OrderFailureDomain(ctx, evacuation.Order{Domain: params.Name, Out: true})
}

func (h *handler) TakeFailureDomainBack(ctx context.Context, params oas.TakeFailureDomainBackParams) error {
	return h.api.OrderFailureDomain(ctx, evacuation.Order{Domain: params.Name, Out: false})
}

func (h *handler) Members(ctx context.Context) (*oas.Members, error) {
	members, err := h.api.Members(ctx)
	if err != nil {
		return nil, err
	}
	return &oas.Members{Members: mapSlice(members, encodeMember)}, nil
}

func (h *handler) AddMember(ctx context.Context, req *oas.NewMember) error {
	address, err := netip.ParseAddrPort(req.Address)
	if err != nil {
		return NewFailure(Invalid, "reading the member's address: "+err.Error())
	}
	return h.api.AddMember(ctx, NewMember{Name: req.Name, Address: address})
}

func (h *handler) PromoteMember(ctx context.Context, params oas.PromoteMemberParams) error {
	return h.api.PromoteMember(ctx, params.Name)
}

func (h *handler) RemoveMember(ctx context.Context, params oas.RemoveMemberParams) error {
	return h.api.RemoveMember(ctx, params.Name)
}

func (h *handler) Status(ctx context.Context) (*oas.Status, error) {
	status, err := h.api.Status(ctx)
	if err != nil {
		return nil, err
	}
	return encodeStatus(status), nil
}

package operator

import (
	"context"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/membership/evacuation"
)

// A System is the cluster state that operators read and change; errors other than Failure are reported as Internal.
type System interface {
	Process
	// Publish fails with Unavailable if it is unknown whether the set came into force.
	Publish(ctx context.Context, p configuration.PublishRequest) (configuration.PublishResult, error)
	Current(ctx context.Context) (Revision, error)
	// Revision fails with NotFound if the revision is not kept.
	Revision(ctx context.Context, number uint64) (Revision, error)
	History(ctx context.Context) ([]configuration.HistoryEntry, error)
	Targets(ctx context.Context) ([]Target, error)
	Quarantine(ctx context.Context) ([]QuarantineEntry, error)
	// Release fails with NotFound if the fingerprint is not quarantined.
	Release(ctx context.Context, fingerprint string) error
	FailureDomains(ctx context.Context) (FailureDomains, error)
	// OrderFailureDomain succeeds again for an order that holds already. It fails with Unavailable if it is unknown whether
	// the order was taken.
	OrderFailureDomain(ctx context.Context, order evacuation.Order) error
	Members(ctx context.Context) ([]Member, error)
	AddMember(ctx context.Context, m NewMember) error
	PromoteMember(ctx context.Context, name string) error
	RemoveMember(ctx context.Context, name string) error
	// Status is served by every instance, not only by the leader.
	Status(ctx context.Context) (Status, error)
}

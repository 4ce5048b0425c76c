package operator

import (
	"context"

	"sapphirespread.example/configuration"
)

// A System is the state of a cluster that operators see and change. Its errors are Failure or are told as Internal.
type System interface {
	Process
	// Publish fails with Unavailable where it is not known whether the publish came into force.
	Publish(ctx context.Context, p configuration.PublishRequest) (configuration.PublishResult, error)
	Current(ctx context.Context) (Revision, error)
	// Revision fails with NotFound where the revision is not kept.
	Revision(ctx context.Context, number uint64) (Revision, error)
	History(ctx context.Context) ([]configuration.HistoryEntry, error)
	Targets(ctx context.Context) ([]Target, error)
	Quarantine(ctx context.Context) ([]QuarantineEntry, error)
	// Release fails with NotFound where no such request is quarantined.
	Release(ctx context.Context, fingerprint string) error
	Members(ctx context.Context) ([]Member, error)
	AddMember(ctx context.Context, m NewMember) error
	PromoteMember(ctx context.Context, name string) error
	RemoveMember(ctx context.Context, name string) error
	// Status is answered by any instance.
	Status(ctx context.Context) (Status, error)
}

package target

import "time"

// A RegistryOption configures a Registry.
type RegistryOption func(*Registry)

const (
	defaultHeartbeatTimeout = 3 * time.Second
	defaultTombstoneAge     = 24 * time.Hour
)

// WithHeartbeatTimeout sets how long a target stays known without an announcement.
func WithHeartbeatTimeout(d time.Duration) RegistryOption {
	return func(r *Registry) { r.heartbeatTimeout = d }
}

// WithSettleUntil makes deltas additive until then, so that a new leader doesn't remove targets that
// have not announced themselves to it yet.
func WithSettleUntil(at time.Time) RegistryOption {
	return func(r *Registry) {
		r.settleUntil = at
		r.settled = false
	}
}

// WithTombstoneAge sets how long the incarnation of a target that left is remembered.
func WithTombstoneAge(d time.Duration) RegistryOption {
	return func(r *Registry) { r.tombstoneAge = d }
}

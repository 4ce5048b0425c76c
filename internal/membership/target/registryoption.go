package target

import "time"

// A RegistryOption configures a Registry.
type RegistryOption func(*Registry)

const (
	defaultHeartbeatTimeout = 3 * time.Second
	defaultTombstoneAge     = 24 * time.Hour
)

// WithHeartbeatTimeout sets how long a target stays present without an announcement. The default is 3 s.
func WithHeartbeatTimeout(d time.Duration) RegistryOption {
	return func(r *Registry) { r.heartbeatTimeout = d }
}

// WithSettleUntil keeps deltas from being full until at, so that a new leader doesn't remove targets that have not
// announced themselves to it yet.
func WithSettleUntil(at time.Time) RegistryOption {
	return func(r *Registry) {
		r.settleUntil = at
		r.settled = false
	}
}

// WithTombstoneAge sets how long the registry remembers the incarnation of a target that left. The default is 24 h.
func WithTombstoneAge(d time.Duration) RegistryOption {
	return func(r *Registry) { r.tombstoneAge = d }
}

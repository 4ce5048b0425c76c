package claim

import "time"

// Defaults of a Registry.
const (
	DefaultRetention            = 24 * time.Hour
	DefaultMargin               = time.Hour
	DefaultRunLimit             = 10 * time.Minute
	DefaultMaximumKeys          = 1_000_000
	DefaultMaximumWorkspaceKeys = 250_000
	DefaultMaximumUntimedKeys   = 50_000
	DefaultMaximumOutcomeBytes  = 64 << 20
)

// A RegistryOption configures a Registry. All replicas need the same options.
type RegistryOption func(*Registry)

// WithRetention sets how long a timed key is kept after its time. A new claim of a timed key is refused from margin
// before the end of that time. A key whose time is more than margin in the future counts as untimed.
func WithRetention(retention, margin time.Duration) RegistryOption {
	return func(r *Registry) { r.retention, r.margin = retention, margin }
}

// WithRunLimit sets the age from which a claim without an outcome is reported as finished with an unknown outcome.
func WithRunLimit(limit time.Duration) RegistryOption {
	return func(r *Registry) { r.runLimit = limit }
}

// WithMaximumKeys limits the number of keys in total and per workspace.
func WithMaximumKeys(whole, workspace int) RegistryOption {
	return func(r *Registry) { r.maximumKeys, r.maximumWorkspaceKeys = whole, workspace }
}

// WithMaximumUntimedKeys limits the number of untimed keys per workspace, which never expire.
func WithMaximumUntimedKeys(maximum int) RegistryOption {
	return func(r *Registry) { r.maximumUntimedKeys = maximum }
}

// WithMaximumOutcomeBytes limits the total size of the headers and bodies of all outcomes, in bytes.
func WithMaximumOutcomeBytes(maximum int64) RegistryOption {
	return func(r *Registry) { r.maximumOutcomeBytes = maximum }
}

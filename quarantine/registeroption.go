package quarantine

import "time"

// A RegisterOption configures a Register. All replicas must use the same options.
type RegisterOption func(*Register)

const (
	defaultRetention      = 10 * time.Minute
	defaultTrialTimeout   = time.Minute
	defaultMaximumEntries = 10_000
)

// WithRetention sets how long a suspect or quarantined fingerprint is kept after its last crash.
func WithRetention(d time.Duration) RegisterOption {
	return func(r *Register) { r.retention = d }
}

// WithTrialTimeout sets the time after which a trial that was not ended counts as a crash.
func WithTrialTimeout(d time.Duration) RegisterOption {
	return func(r *Register) { r.trialTimeout = d }
}

// WithMaximumEntries limits the number of fingerprints. Above the limit, the register evicts suspects before
// quarantined fingerprints, in the order of their expiry.
func WithMaximumEntries(n int) RegisterOption {
	return func(r *Register) { r.maximumEntries = n }
}

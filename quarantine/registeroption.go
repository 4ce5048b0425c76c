package quarantine

import "time"

// A RegisterOption configures a Register; all replicas use the same options.
type RegisterOption func(*Register)

const (
	defaultHold         = 10 * time.Minute
	defaultTrialTimeout = time.Minute
	defaultBound        = 10_000
)

// WithHold sets how long a suspect or quarantined fingerprint is held after its last crash.
func WithHold(d time.Duration) RegisterOption {
	return func(r *Register) { r.hold = d }
}

// WithTrialTimeout sets when a trial that nobody ended counts as a crash.
func WithTrialTimeout(d time.Duration) RegisterOption {
	return func(r *Register) { r.trialTimeout = d }
}

// WithBound sets how many fingerprints are held at most; the suspects that end first make room.
func WithBound(n int) RegisterOption {
	return func(r *Register) { r.bound = n }
}

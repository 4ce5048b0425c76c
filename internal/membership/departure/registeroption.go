package departure

import "time"

// defaultRetention exceeds by far the time that an announcement can be on its way.
const defaultRetention = time.Hour

// A RegisterOption configures a Register. All replicas must use the same options.
type RegisterOption func(*Register)

// WithRetention sets how long a departure is kept after it was last recorded.
func WithRetention(d time.Duration) RegisterOption {
	return func(r *Register) { r.retention = d }
}

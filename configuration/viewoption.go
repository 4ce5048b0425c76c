package configuration

import "time"

const defaultFreshness = 3 * time.Second

// A ViewOption configures a View.
type ViewOption func(*View)

// WithFreshness sets the freshness lease: how long a confirmation keeps the view fresh, measured from the time at which
// its request was sent.
func WithFreshness(d time.Duration) ViewOption {
	return func(v *View) { v.freshness = d }
}

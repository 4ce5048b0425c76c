package configuration

import "time"

const defaultFreshness = 3 * time.Second

// A ViewOption changes how a View works.
type ViewOption func(*View)

// WithFreshness sets how long after it was asked for a confirmation keeps the view fresh.
func WithFreshness(d time.Duration) ViewOption {
	return func(v *View) { v.freshness = d }
}

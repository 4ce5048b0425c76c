package target

import "time"

// A ChooserOption configures a Chooser.
type ChooserOption func(*Chooser)

const (
	defaultSilence   = 3 * time.Second
	defaultSlowStart = 10 * time.Second
)

// WithFailureDomain sets the chooser's own failure domain, whose targets go first while they can serve.
func WithFailureDomain(name string) ChooserOption {
	return func(c *Chooser) { c.failureDomain = name }
}

// WithFarCost sets how many times as dear a target of another failure domain is taken to be, where bytes between them are
// paid for; 1 by default.
func WithFarCost(times float64) ChooserOption {
	return func(c *Chooser) { c.farCost = max(times, 1) }
}

// WithDaemon sets the chooser's own daemon, whose target is local.
func WithDaemon(name string) ChooserOption {
	return func(c *Chooser) { c.daemon = name }
}

// WithSilence sets how long a target with calls in flight may be quiet before it gets no new call.
func WithSilence(d time.Duration) ChooserOption {
	return func(c *Chooser) { c.silence = d }
}

// WithSlowStart sets how long a target that joins takes to its full weight.
func WithSlowStart(d time.Duration) ChooserOption {
	return func(c *Chooser) { c.slowStart = d }
}

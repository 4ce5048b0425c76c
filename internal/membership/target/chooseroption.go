package target

import "time"

// A ChooserOption configures a Chooser.
type ChooserOption func(*Chooser)

const (
	defaultSilenceTimeout = 3 * time.Second
	defaultSlowStart      = 10 * time.Second
)

// WithFailureDomain sets the chooser's own failure domain, whose targets are preferred while they can serve.
func WithFailureDomain(name string) ChooserOption {
	return func(c *Chooser) { c.failureDomain = name }
}

// WithCrossDomainCost multiplies the cost of targets in other failure domains by factor, for networks that charge for
// traffic between failure domains. Factors below 1 count as 1, which is the default.
func WithCrossDomainCost(factor float64) ChooserOption {
	return func(c *Chooser) { c.crossDomainCost = max(factor, 1) }
}

// WithDaemon names the chooser's own daemon, whose target is local.
func WithDaemon(name string) ChooserOption {
	return func(c *Chooser) { c.daemon = name }
}

// WithSilence sets how long a target with calls in flight may stay silent before it gets no new calls. The default is
// 3 s. A target with a high latency may stay silent for four times its latency.
func WithSilence(d time.Duration) ChooserOption {
	return func(c *Chooser) { c.silenceTimeout = d }
}

// WithSlowStart sets how long a target that joins a known service takes to reach its full weight. The default is
// 10 s, and 0 disables slow start.
func WithSlowStart(d time.Duration) ChooserOption {
	return func(c *Chooser) { c.slowStart = d }
}

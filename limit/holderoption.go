package limit

import "time"

// Defaults of the holder.
const (
	DefaultPrefetch   = 150 * time.Millisecond
	DefaultIdleAfter  = 150 * time.Millisecond
	DefaultAskTimeout = 2 * time.Second
)

// A HolderOption configures a Holder.
type HolderOption func(*Holder)

// WithPrefetch sets for how long the tokens asked for ahead last at the observed rate.
func WithPrefetch(prefetch time.Duration) HolderOption {
	return func(h *Holder) { h.prefetch = prefetch }
}

// WithIdleAfter sets after how long without use a workspace's tokens are returned.
func WithIdleAfter(idle time.Duration) HolderOption {
	return func(h *Holder) { h.idleAfter = idle }
}

// WithCoasting lets a holder whose owner has fallen silent go on spending at the lately observed rate, until the owner
// has been silent for that long. The tokens are not of the owner's bucket: while owners change, a window may hold that
// much of the rate more.
func WithCoasting(until time.Duration) HolderOption {
	return func(h *Holder) { h.coast = until }
}

// WithAskTimeout sets after how long an unanswered ask is taken for lost; it must exceed the owner's maximum hold.
func WithAskTimeout(timeout time.Duration) HolderOption {
	return func(h *Holder) { h.askTimeout = timeout }
}

// WithHolderClockRateMargin sets the largest relative error of any instance's clock rate, as a share of one.
func WithHolderClockRateMargin(margin float64) HolderOption {
	return func(h *Holder) { h.margin = margin }
}

package limit

import "time"

// Default holder options.
const (
	DefaultPrefetch       = 150 * time.Millisecond
	DefaultIdleAfter      = 150 * time.Millisecond
	DefaultRequestTimeout = 2 * time.Second
)

// A HolderOption configures a Holder.
type HolderOption func(*Holder)

// WithPrefetch sets how far ahead a holder requests tokens, as time of spending at the observed rate.
func WithPrefetch(prefetch time.Duration) HolderOption {
	return func(h *Holder) { h.prefetch = prefetch }
}

// WithIdleAfter sets how long a workspace may go unused before its tokens are returned.
func WithIdleAfter(idle time.Duration) HolderOption {
	return func(h *Holder) { h.idleAfter = idle }
}

// WithFallbackSpending enables fallback spending: a holder whose owner is silent continues to spend at the recently
// observed rate until the silence reaches maximum. CollectFallbackSpending tells the owner of these tokens afterwards.
func WithFallbackSpending(maximum time.Duration) HolderOption {
	return func(h *Holder) { h.maximumFallback = maximum }
}

// WithRequestTimeout sets how long a holder waits for an answer before it treats a grant request as lost. The timeout
// must exceed the owner's maximum queue time.
func WithRequestTimeout(timeout time.Duration) HolderOption {
	return func(h *Holder) { h.requestTimeout = timeout }
}

// WithHolderClockRateMargin sets the largest relative error of any instance's clock rate, for example 0.0005.
func WithHolderClockRateMargin(margin float64) HolderOption {
	return func(h *Holder) { h.margin = margin }
}

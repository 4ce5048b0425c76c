package limit

import "time"

// A FallbackEvent tells that a workspace begins to spend at a holder without its owner.
type FallbackEvent struct {
	Workspace string
	// Silence is the time since the owner failed to respond, and Disconnected whether the connection to it was lost.
	Silence      time.Duration
	Disconnected bool
	// Rate is the spending that the holder has measured, in tokens per second.
	Rate float64
	// Pressed is whether the workspace used up its limit according to the owner.
	Pressed bool
	// Spent is the number of tokens that the workspace has spent without the owner before, in all silences.
	Spent int64
}

// WithFallbackEvents calls handle when a workspace begins to spend in a silence of the owner.
func WithFallbackEvents(handle func(FallbackEvent)) HolderOption {
	return func(h *Holder) { h.fallbackEvent = handle }
}

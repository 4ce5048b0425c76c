package limit

import "time"

// Defaults of the owner and of the holder.
const (
	DefaultGrantDuration   = 500 * time.Millisecond
	DefaultMaximumHold     = time.Second
	DefaultClockRateMargin = 0.0005
)

// PollInterval is the shortest time from one poll of an owner to the next.
const PollInterval = 2 * time.Millisecond

// An OwnerOption configures an Owner.
type OwnerOption func(*Owner)

// WithOwnerStart makes all buckets start empty at holdOff after the owner's creation, which must be at least
// HoldOff of the former owner.
func WithOwnerStart(holdOff time.Duration) OwnerOption {
	return func(o *Owner) { o.holdOff = holdOff }
}

// WithGrantDuration sets how long a grant may be spent.
func WithGrantDuration(duration time.Duration) OwnerOption {
	return func(o *Owner) { o.grantDuration = duration }
}

// WithClockRateMargin sets the largest relative error of any instance's clock rate, as a share of one.
func WithClockRateMargin(margin float64) OwnerOption {
	return func(o *Owner) { o.margin = margin }
}

// WithMaximumHold sets how long an ask may be held back for tokens.
func WithMaximumHold(hold time.Duration) OwnerOption {
	return func(o *Owner) { o.maximumHold = hold }
}

// HoldOff returns how long a new owner waits before its first grant, so that the grants of a former owner of
// the same grant duration and clock-rate margin have run out.
func HoldOff(grantDuration time.Duration, margin float64) time.Duration {
	return time.Duration(float64(grantDuration) * (1 + margin) * (1 + margin))
}

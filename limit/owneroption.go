package limit

import "time"

// Default owner options. The holder uses the same clock-rate margin.
const (
	DefaultGrantDuration    = 500 * time.Millisecond
	DefaultMaximumQueueTime = time.Second
	DefaultClockRateMargin  = 0.0005
)

// PollInterval is the shortest time between two polls of an owner.
const PollInterval = 2 * time.Millisecond

// An OwnerOption configures an Owner.
type OwnerOption func(*Owner)

// WithOwnerStart delays the first grant by holdOff after the owner's creation; buckets then start empty. The delay must
// be at least the HoldOff of the previous owner.
func WithOwnerStart(holdOff time.Duration) OwnerOption {
	return func(o *Owner) { o.holdOff = holdOff }
}

// WithGrantDuration sets how long a holder may spend the tokens of a grant.
func WithGrantDuration(duration time.Duration) OwnerOption {
	return func(o *Owner) { o.grantDuration = duration }
}

// WithClockRateMargin sets the largest relative error of any instance's clock rate, for example 0.0005.
func WithClockRateMargin(margin float64) OwnerOption {
	return func(o *Owner) { o.margin = margin }
}

// WithMaximumQueueTime sets how long a grant request may be queued for tokens before it is denied.
func WithMaximumQueueTime(queueTime time.Duration) OwnerOption {
	return func(o *Owner) { o.maximumQueueTime = queueTime }
}

// HoldOff returns how long a new owner must wait before its first grant so that all grants of the previous owner have
// expired. Both owners must use the same grant duration and clock-rate margin.
func HoldOff(grantDuration time.Duration, margin float64) time.Duration {
	return time.Duration(float64(grantDuration) * (1 + margin) * (1 + margin))
}

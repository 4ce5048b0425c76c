package claim

import "time"

// Defaults of the book.
const (
	DefaultRetention            = 24 * time.Hour
	DefaultMargin               = time.Hour
	DefaultRunLimit             = 10 * time.Minute
	DefaultMaximumKeys          = 1_000_000
	DefaultMaximumWorkspaceKeys = 250_000
	DefaultMaximumUntimedKeys   = 50_000
	DefaultMaximumOutcomeBytes  = 64 << 20
)

// A BookOption configures a Book; all replicas of a book need the same ones.
type BookOption func(*Book)

// WithRetention sets for how long a key that carries a time is kept after that time, and how much earlier than
// that a new claim for it is refused. A key dated later than the margin ahead counts as one without a time.
func WithRetention(retention, margin time.Duration) BookOption {
	return func(b *Book) { b.retention, b.margin = retention, margin }
}

// WithRunLimit sets after how long a claim without an outcome is answered as finished with an unknown one.
func WithRunLimit(limit time.Duration) BookOption {
	return func(b *Book) { b.runLimit = limit }
}

// WithMaximumKeys bounds the keys of the whole book and of each workspace.
func WithMaximumKeys(whole, workspace int) BookOption {
	return func(b *Book) { b.maximumKeys, b.maximumWorkspaceKeys = whole, workspace }
}

// WithMaximumUntimedKeys bounds the keys without a time of each workspace, which are never dropped.
func WithMaximumUntimedKeys(maximum int) BookOption {
	return func(b *Book) { b.maximumUntimedKeys = maximum }
}

// WithMaximumOutcomeBytes bounds the headers and bodies of all outcomes together, in bytes.
func WithMaximumOutcomeBytes(maximum int64) BookOption {
	return func(b *Book) { b.maximumOutcomeBytes = maximum }
}

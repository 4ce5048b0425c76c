package configuration

// A Limit is a token bucket with a rate in requests per second and a burst in requests. Each workspace that refers to a
// limit has its own bucket.
type Limit struct {
	Name  string  `json:"name" toml:"-"`
	Rate  float64 `json:"rate" toml:"rate"`
	Burst int64   `json:"burst" toml:"burst"`
}

// ObjectKind returns KindLimit.
func (Limit) ObjectKind() Kind { return KindLimit }

// ObjectName returns the limit's name.
func (l Limit) ObjectName() string { return l.Name }

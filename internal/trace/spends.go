package trace

import "time"

// Spends holds the limit of a workspace and the times at which daemons spent its tokens.
type Spends struct {
	Workspace string          `json:"workspace"`
	Rate      float64         `json:"rate"` // tokens per second
	Burst     int64           `json:"burst"`
	At        []time.Duration `json:"at"` // one entry per token, in ascending order
}

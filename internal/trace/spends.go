package trace

import "time"

// Spends are the rate and burst of a workspace with when daemons spent its tokens.
type Spends struct {
	Workspace string          `json:"workspace"`
	Rate      float64         `json:"rate"` // tokens a second
	Burst     int64           `json:"burst"`
	At        []time.Duration `json:"at"` // a token each, in the order of time
}

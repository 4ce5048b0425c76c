package operator

import (
	"time"
)

const (
	defaultPatience = 10 * time.Second
	defaultTimeout  = 5 * time.Second
	retryPause      = 200 * time.Millisecond
)

// A ClientOption changes how a Client works.
type ClientOption func(*Client)

// WithPatience sets how long the client goes on trying instances before it gives up; 0 is one round.
func WithPatience(d time.Duration) ClientOption {
	return func(c *Client) { c.patience = d }
}

// WithTimeout sets how long the client waits for one answer.
func WithTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.timeout = d }
}

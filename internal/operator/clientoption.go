package operator

import (
	"time"
)

const (
	defaultRetryTimeout   = 10 * time.Second
	defaultRequestTimeout = 5 * time.Second
	retryInterval         = 200 * time.Millisecond
)

// A ClientOption configures a Client.
type ClientOption func(*Client)

// WithRetryTimeout sets the time for which the client retries failed requests; 0 means one attempt at each instance.
func WithRetryTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.retryTimeout = d }
}

// WithRequestTimeout sets the timeout of a request to one instance.
func WithRequestTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.requestTimeout = d }
}

package connection

import "time"

const (
	// defaultDialTimeout is well above a connection to the same machine under load.
	defaultDialTimeout = time.Second
	// defaultIdleTimeout is below what servers usually keep idle connections for.
	defaultIdleTimeout = 60 * time.Second
	// defaultMaximumIdle is above the slots of usual backend servers.
	defaultMaximumIdle = 1024
	// idleMargin keeps a request from crossing the close of an idle connection by the backend server.
	idleMargin = 500 * time.Millisecond
	// maximumHeadBytes bounds the head of an answer, so that a broken one can't fill the memory.
	maximumHeadBytes = 256 << 10
	// bufferBytes holds a usual request or answer head.
	bufferBytes = 4 << 10
)

// An Option changes how a Pool connects.
type Option func(*Pool)

// WithDialTimeout bounds the time to open a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(p *Pool) { p.dialTimeout = timeout }
}

// WithIdleTimeout sets how long an idle connection is kept where the backend server does not say.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(p *Pool) { p.idleTimeout = timeout }
}

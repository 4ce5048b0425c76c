package connection

import "time"

const (
	// defaultDialTimeout is well above the time to connect to a process on the same machine under load.
	defaultDialTimeout = time.Second
	// defaultIdleTimeout is below the usual idle timeout of servers.
	defaultIdleTimeout = 60 * time.Second
	// maxIdleConnections is above the usual number of slots of a backend server.
	maxIdleConnections = 1024
	// idleTimeoutMargin prevents a request from being sent while the backend server closes the idle connection.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxResponseHeaderBytes limits the memory that a malformed response header can use.
	maxResponseHeaderBytes = 256 << 10
	// maxSkippedResponses and maxSkippedBytes limit the responses to other requests that are read over.
	maxSkippedResponses = 16
	maxSkippedBytes     = 1 << 20
	// maxCarriedKeys is how many requests back a repeated response is expected at most.
	maxCarriedKeys = 16
	// bufferBytes is enough for the header of a usual request or response.
	bufferBytes = 4 << 10
)

// An Option configures a Pool.
type Option func(*Pool)

// WithDialTimeout limits the time to open a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(p *Pool) { p.dialTimeout = timeout }
}

// WithIdleTimeout sets the maximum time that an idle connection is kept. A shorter timeout in a Keep-Alive header of
// the backend server takes precedence.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(p *Pool) { p.idleTimeout = timeout }
}

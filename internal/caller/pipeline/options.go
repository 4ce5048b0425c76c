package pipeline

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"
)

const (
	defaultReadHeaderTimeout = 10 * time.Second
	defaultIdleTimeout       = time.Minute
	defaultMaxHeaderBytes    = 64 << 10
	// defaultMaxConcurrent is the number of requests of one connection that run or wait for their turn side by side. It is
	// above what callers send ahead and keeps the answers of one connection below 2 MiB.
	defaultMaxConcurrent = 32
	// maxWaitingBytes is the part of an answer that is kept until the answers before it are sent.
	maxWaitingBytes = 64 << 10
	// maxDiscardedBytes is the part of an unread body that is read over to keep the connection.
	maxDiscardedBytes = 256 << 10
	// lingerTimeout is the time for a caller to read the last answer before the connection is closed.
	lingerTimeout = 500 * time.Millisecond
	bufferBytes   = 4 << 10
)

// An Option configures a Server.
type Option func(*Server)

// WithTimeouts sets the longest time to read the head of a request, and the longest time between requests.
func WithTimeouts(readHeader, idle time.Duration) Option {
	return func(s *Server) { s.readHeaderTimeout, s.idleTimeout = readHeader, idle }
}

// WithMaxHeaderBytes limits the size of a request's head in bytes.
func WithMaxHeaderBytes(limit int) Option {
	return func(s *Server) { s.maxHeaderBytes = limit }
}

// WithMaxConcurrent limits the number of unanswered requests of one connection. No further one is read meanwhile.
func WithMaxConcurrent(limit int) Option {
	return func(s *Server) { s.maxConcurrent = limit }
}

// WithConcurrency sets which requests may run beside others of their connection. By default none may.
func WithConcurrency(mayRun func(*http.Request) bool) Option {
	return func(s *Server) { s.mayRunConcurrently = mayRun }
}

// WithLogger sets the logger for panics of the handler and failures to accept.
func WithLogger(logger zerolog.Logger) Option {
	return func(s *Server) { s.logger = logger }
}

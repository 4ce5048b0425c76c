package pipeline

import (
	"cmp"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/internal/host/budget"
)

const (
	// noTimeout outlasts any process.
	noTimeout                = 100 * 365 * 24 * time.Hour
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

// WithTimeouts sets the longest time to read the head of a request, and the longest time between requests. Zero stands for
// no limit.
func WithTimeouts(readHeader, idle time.Duration) Option {
	return func(s *Server) {
		s.readHeaderTimeout, s.idleTimeout = cmp.Or(readHeader, noTimeout), cmp.Or(idle, noTimeout)
	}
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

// WithBudget sets the budget that the connections and requests are part of, by default one without limits.
func WithBudget(clients *budget.Budget) Option {
	return func(s *Server) { s.budget = clients }
}

// WithMaxBodyBytes sets the part of a request's body that the handler may hold in memory, for the budget.
func WithMaxBodyBytes(bytes int64) Option {
	return func(s *Server) { s.maxBodyBytes = bytes }
}

// WithRefusal sets the handler that answers a request for which the budget has no room. The request is without its fields if
// its head was not read to the end.
func WithRefusal(refuse http.HandlerFunc) Option {
	return func(s *Server) { s.refuse = refuse }
}

// WithStallTimeout ends a connection whose client takes nothing of an answer for that long, and a body of which nothing
// arrives, unless the handler sets a deadline for that itself.
func WithStallTimeout(timeout time.Duration) Option {
	return func(s *Server) { s.stallTimeout = timeout }
}

// WithLogger sets the logger for panics of the handler and failures to accept.
func WithLogger(logger zerolog.Logger) Option {
	return func(s *Server) { s.logger = logger }
}

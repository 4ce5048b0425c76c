package standin

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
)

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithName sets the name of the target, by default the name of the service followed by "-1".
func WithName(name string) ServerOption {
	return func(s *Server) { s.name = name }
}

// WithListen sets the listen address, by default a free port on the loopback interface.
func WithListen(address netip.AddrPort) ServerOption {
	return func(s *Server) { s.listen = address }
}

// WithDaemon makes the server announce itself to the daemon whose listener for nested calls is at address.
func WithDaemon(address netip.AddrPort) ServerOption {
	return func(s *Server) { s.announcer = newAnnouncer(address) }
}

// WithSlots sets the number of requests in flight that the server processes at full speed.
func WithSlots(slots int) ServerOption {
	return func(s *Server) { s.slots = slots }
}

// WithMaxInFlight sets the maximum number of requests in flight, beyond which the server refuses requests.
func WithMaxInFlight(connections int) ServerOption {
	return func(s *Server) { s.maxInFlight = connections }
}

// WithWork sets the mean and the distribution of the service time, which excludes nested calls.
func WithWork(mean time.Duration, distribution Distribution) ServerOption {
	return func(s *Server) { s.meanServiceTime, s.distribution = mean, distribution }
}

// WithSeed sets the seed of the random service times.
func WithSeed(seed uint64) ServerOption {
	return func(s *Server) { s.seed = seed }
}

// WithColdStart multiplies service times by factor at startup, decreasing linearly to 1 over duration.
func WithColdStart(duration time.Duration, factor float64) ServerOption {
	return func(s *Server) { s.coldStart, s.coldStartFactor = duration, factor }
}

// WithDrain sets how long the server announces the draining state before it stops listening.
func WithDrain(duration time.Duration) ServerOption {
	return func(s *Server) { s.drainPeriod = duration }
}

// WithCalls sets the nested calls that the server sends in sequence for each request, and the Caller that sends them.
func WithCalls(caller NestedCaller, calls ...NestedCall) ServerOption {
	return func(s *Server) { s.caller, s.calls = caller, calls }
}

// WithResponsePadding sets the number of padding bytes in each response.
func WithResponsePadding(bytes int) ServerOption {
	return func(s *Server) { s.responsePadding = bytes }
}

// WithMiddleware wraps the request handler in middleware, such as a concurrency limit.
func WithMiddleware(middleware func(http.Handler) http.Handler) ServerOption {
	return func(s *Server) { s.middleware = middleware }
}

// WithRestart sets the downtime after a crash.
func WithRestart(downtime time.Duration) ServerOption {
	return func(s *Server) { s.downtime = downtime }
}

// WithCrash sets a function that replaces the simulated crash, such as one that ends the process.
func WithCrash(crash func()) ServerOption {
	return func(s *Server) { s.onCrash = crash }
}

// WithLogger sets the logger.
func WithLogger(logger zerolog.Logger) ServerOption {
	return func(s *Server) { s.logger = logger }
}

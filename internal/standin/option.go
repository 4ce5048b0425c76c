package standin

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
)

// A ServerOption sets one property of a Server.
type ServerOption func(*Server)

// WithName sets the name of the target; the service and a number by default.
func WithName(name string) ServerOption {
	return func(s *Server) { s.name = name }
}

// WithListen sets the address to listen at; a free port on loopback by default.
func WithListen(address netip.AddrPort) ServerOption {
	return func(s *Server) { s.listen = address }
}

// WithDaemon makes the server announce itself to the daemon whose listener for sub-calls is at address.
func WithDaemon(address netip.AddrPort) ServerOption {
	return func(s *Server) { s.announcer = newAnnouncer(address) }
}

// WithSlots sets how many requests are held before all slow down.
func WithSlots(slots int) ServerOption {
	return func(s *Server) { s.slots = slots }
}

// WithConnections sets how many requests are held before the server sheds load itself.
func WithConnections(connections int) ServerOption {
	return func(s *Server) { s.connections = connections }
}

// WithWork sets the mean service time, without that of deeper services, and its distribution.
func WithWork(mean time.Duration, distribution Distribution) ServerOption {
	return func(s *Server) { s.mean, s.distribution = mean, distribution }
}

// WithSeed sets the seed of the service times.
func WithSeed(seed uint64) ServerOption {
	return func(s *Server) { s.seed = seed }
}

// WithColdStart makes the server work factor times as long at first, falling to normal over duration.
func WithColdStart(duration time.Duration, factor float64) ServerOption {
	return func(s *Server) { s.coldStart, s.coldFactor = duration, factor }
}

// WithDrain sets how long a leaving server announces that it drains before it stops listening.
func WithDrain(duration time.Duration) ServerOption {
	return func(s *Server) { s.drain = duration }
}

// WithCalls sets the sub-calls made for each request, one after the other, and their caller.
func WithCalls(caller Caller, calls ...Call) ServerOption {
	return func(s *Server) { s.caller, s.calls = caller, calls }
}

// WithAnswerPadding sets how many bytes are added to each answer.
func WithAnswerPadding(bytes int) ServerOption {
	return func(s *Server) { s.padding = bytes }
}

// WithGate wraps the handler of requests, such as with a limit on those in flight.
func WithGate(gate func(http.Handler) http.Handler) ServerOption {
	return func(s *Server) { s.gate = gate }
}

// WithRestart sets how long the server is down after a crash.
func WithRestart(downtime time.Duration) ServerOption {
	return func(s *Server) { s.downtime = downtime }
}

// WithCrash replaces what a request marked to crash the server does, such as by ending the process.
func WithCrash(crash func()) ServerOption {
	return func(s *Server) { s.onCrash = crash }
}

// WithLogger sets the logger.
func WithLogger(logger zerolog.Logger) ServerOption {
	return func(s *Server) { s.logger = logger }
}

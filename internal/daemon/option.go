package daemon

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"

	"github.com/rs/zerolog"

	"sapphirespread.example/internal/daemon/dialect"
)

// Option configures a Daemon.
type Option func(*Daemon)

// WithLogger sets the logger of the daemon, which by default logs nothing.
func WithLogger(logger zerolog.Logger) Option {
	return func(d *Daemon) { d.logger = logger }
}

// WithRequestLogger sets the logger for events that concern a single request, by default the logger of the daemon.
func WithRequestLogger(logger zerolog.Logger) Option {
	return func(d *Daemon) { d.perRequestLogger = &logger }
}

// WithTLS secures sessions between processes with TLS, using config for both clients and servers.
func WithTLS(config *tls.Config) Option {
	return func(d *Daemon) { d.tls = config }
}

// WithListeners sets open listeners, which replace the listen addresses of the settings.
func WithListeners(listeners Listeners) Option {
	return func(d *Daemon) { d.listeners = listeners }
}

// WithDialect sets the header dialect of callers and the backend server, by default the project's own headers.
func WithDialect(custom dialect.Dialect) Option {
	return func(d *Daemon) { d.dialect = custom }
}

// WithServer adds an HTTP server that listens on address. The name is that of the port in the metrics.
func WithServer(name string, address netip.AddrPort, handler func(*Daemon) http.Handler) Option {
	return func(d *Daemon) { d.extraServers = append(d.extraServers, extraServer{name, address, handler}) }
}

// extraServer is an additional HTTP server that the daemon runs.
type extraServer struct {
	name    string
	address netip.AddrPort
	handler func(*Daemon) http.Handler
}

// Listeners contains the listening sockets of a daemon.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Subcalls  net.Listener
	Operators net.Listener
}

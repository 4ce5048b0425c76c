package daemon

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"

	"github.com/rs/zerolog"

	"sapphirespread.example/internal/daemon/dialect"
)

// An Option changes how a Daemon runs.
type Option func(*Daemon)

// WithLogger sets where the daemon logs.
func WithLogger(logger zerolog.Logger) Option {
	return func(d *Daemon) { d.logger = logger }
}

// WithRequestLogger sets where the daemon logs what touches one request; without it these lines go with the others.
func WithRequestLogger(logger zerolog.Logger) Option {
	return func(d *Daemon) { d.perRequestLogger = &logger }
}

// WithTLS makes sessions between processes use TLS with config on both sides.
func WithTLS(config *tls.Config) Option {
	return func(d *Daemon) { d.tls = config }
}

// WithListeners sets listeners that are open already, in place of the addresses of the settings.
func WithListeners(listeners Listeners) Option {
	return func(d *Daemon) { d.listeners = listeners }
}

// WithDialect sets how callers and the backend server speak, in place of the project's own headers.
func WithDialect(custom dialect.Dialect) Option {
	return func(d *Daemon) { d.dialect = custom }
}

// WithServer makes the daemon serve one more HTTP address.
func WithServer(address netip.AddrPort, handler func(*Daemon) http.Handler) Option {
	return func(d *Daemon) { d.extraServers = append(d.extraServers, extraServer{address, handler}) }
}

// An extraServer is an address that the daemon serves beside its own.
type extraServer struct {
	address netip.AddrPort
	handler func(*Daemon) http.Handler
}

// Listeners are the sockets that a daemon accepts on.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Subcalls  net.Listener
	Operators net.Listener
}

package daemon

import (
	"crypto/tls"
	"net"

	"github.com/rs/zerolog"
)

// An Option changes how a Daemon runs.
type Option func(*Daemon)

// WithLogger sets where the daemon logs.
func WithLogger(logger zerolog.Logger) Option {
	return func(d *Daemon) { d.logger = logger }
}

// WithTLS makes sessions between processes use TLS with config on both sides.
func WithTLS(config *tls.Config) Option {
	return func(d *Daemon) { d.tls = config }
}

// WithListeners sets listeners that are open already, in place of the addresses of the settings.
func WithListeners(listeners Listeners) Option {
	return func(d *Daemon) { d.listeners = listeners }
}

// Listeners are the sockets that a daemon accepts on.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Subcalls  net.Listener
	Operators net.Listener
}

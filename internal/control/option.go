package control

import (
	"crypto/tls"
	"net"

	"github.com/rs/zerolog"
)

// An Option changes how a Control runs.
type Option func(*Control)

// Listeners are the sockets that a control instance accepts on.
type Listeners struct {
	Peers     net.Listener
	Operators net.Listener
}

// WithLogger sets where the control instance logs.
func WithLogger(logger zerolog.Logger) Option {
	return func(c *Control) { c.logger = logger }
}

// WithTLS makes sessions between processes use TLS with config on both sides.
func WithTLS(config *tls.Config) Option {
	return func(c *Control) { c.tls = config }
}

// WithListeners sets listeners that are open already, in place of the addresses of the settings.
func WithListeners(listeners Listeners) Option {
	return func(c *Control) { c.listeners = listeners }
}

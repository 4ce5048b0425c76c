package control

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"

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

// WithServer makes the control instance serve one more HTTP address.
func WithServer(address netip.AddrPort, handler func(*Control) http.Handler) Option {
	return func(c *Control) { c.extra = append(c.extra, extraServer{address, handler}) }
}

// An extraServer is an address that the control instance serves beside its own.
type extraServer struct {
	address netip.AddrPort
	handler func(*Control) http.Handler
}

// WithListeners sets listeners that are open already, in place of the addresses of the settings.
func WithListeners(listeners Listeners) Option {
	return func(c *Control) { c.listeners = listeners }
}

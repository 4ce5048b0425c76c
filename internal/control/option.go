package control

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"

	"github.com/rs/zerolog"
)

// An Option configures a Control.
type Option func(*Control)

// Listeners holds the sockets on which a control instance accepts connections.
type Listeners struct {
	Peers     net.Listener
	Operators net.Listener
}

// WithLogger sets the logger of the control instance.
func WithLogger(logger zerolog.Logger) Option {
	return func(c *Control) { c.logger = logger }
}

// WithTLS makes connections between processes use TLS, with config for both the client and the server side.
func WithTLS(config *tls.Config) Option {
	return func(c *Control) { c.tls = config }
}

// WithServer adds an HTTP server at the given address. The name is that of the port in the metrics.
func WithServer(name string, address netip.AddrPort, handler func(*Control) http.Handler) Option {
	return func(c *Control) { c.extraServers = append(c.extraServers, extraServer{name, address, handler}) }
}

// An extraServer is an HTTP server added with WithServer.
type extraServer struct {
	name    string
	address netip.AddrPort
	handler func(*Control) http.Handler
}

// WithListeners sets open listeners to use instead of the addresses in the settings.
func WithListeners(listeners Listeners) Option {
	return func(c *Control) { c.listeners = listeners }
}

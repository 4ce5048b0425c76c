package daemon

import (
	"context"
	"expvar"
	"net"
	"net/http"

	"sapphirespread.example/internal/caller/pipeline"
	"sapphirespread.example/internal/host/budget"
	"sapphirespread.example/internal/host/framing"
	"sapphirespread.example/refusal"
)

// A clientServer serves the clients of one port.
type clientServer struct {
	*pipeline.Server
	listener net.Listener
	done     chan struct{}
}

// newServer returns the server of a port. What its clients hold is part of clients and in the metrics by the port's name.
func (d *Daemon) newServer(name string, listener net.Listener, clients *budget.Budget, handler http.Handler, options ...pipeline.Option) *clientServer {
	timeouts := d.settings.Timeouts
	d.counters.clients.Set(name, expvar.Func(func() any { return clients.Stats() }))
	options = append([]pipeline.Option{
		pipeline.WithTimeouts(timeouts.ReadHeader, timeouts.Idle),
		pipeline.WithStallTimeout(timeouts.BodyStall),
		pipeline.WithMaxHeaderBytes(maxHeaderBytes),
		pipeline.WithMaxBodyBytes(maxBufferedBodyBytes),
		pipeline.WithBudget(clients),
		pipeline.WithRefusal(d.refuseWithoutRoom),
		pipeline.WithLogger(d.logger.With().Str("port", name).Logger()),
	}, options...)
	return &clientServer{Server: pipeline.New(handler, options...), listener: listener, done: make(chan struct{})}
}

// newPortServer is like newServer for a port that only the instance and its operators use.
func (d *Daemon) newPortServer(name string, listener net.Listener, handler http.Handler) *clientServer {
	return d.newServer(name, listener, budget.New(d.settings.Resources.Plan().Port), framing.Guard(handler))
}

// refuseWithoutRoom refuses a request for which the budget has no room. Nothing of it was passed on.
func (d *Daemon) refuseWithoutRoom(w http.ResponseWriter, r *http.Request) {
	d.refuseCaller(w, d.dialect.ReadRequest(r.Header).RequestID, refuse(refusal.Overloaded, "no room for the request"))
}

// mayRunConcurrently reports whether a request may run beside others that its caller has sent on the same connection.
// The order of requests that change something is kept.
func (d *Daemon) mayRunConcurrently(r *http.Request) bool {
	matched, found := d.snapshot().Match(r.Method, r.Host, r.URL.Path)
	return found && matched.Repeatable
}

// serve serves until the listener closes.
func (s *clientServer) serve() error {
	defer close(s.done)
	return s.Serve(s.listener)
}

// stop closes the listener and waits for the requests on the accepted connections. It closes the connections if ctx
// ends first.
func (s *clientServer) stop(ctx context.Context) {
	_ = s.listener.Close()
	<-s.done
	pendingCtx, cancel := context.WithTimeout(ctx, pendingRequestTimeout)
	defer cancel()
	s.AwaitRequests(pendingCtx)
	if s.Shutdown(ctx) != nil {
		s.Close()
	}
}

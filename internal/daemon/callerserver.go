package daemon

import (
	"context"
	"net"
	"net/http"

	"sapphirespread.example/internal/caller/pipeline"
)

// A callerServer serves callers on one listener.
type callerServer struct {
	*pipeline.Server
	listener net.Listener
	done     chan struct{}
}

func newCallerServer(d *Daemon, listener net.Listener, handler http.Handler) *callerServer {
	timeouts := d.settings.Timeouts
	return &callerServer{
		Server: pipeline.New(handler,
			pipeline.WithTimeouts(timeouts.ReadHeader, timeouts.Idle),
			pipeline.WithMaxHeaderBytes(maxHeaderBytes),
			pipeline.WithConcurrency(d.mayRunConcurrently),
			pipeline.WithLogger(d.logger)),
		listener: listener,
		done:     make(chan struct{}),
	}
}

// mayRunConcurrently reports whether a request may run beside others that its caller has sent on the same connection.
// The order of requests that change something is kept.
func (d *Daemon) mayRunConcurrently(r *http.Request) bool {
	matched, found := d.snapshot().Match(r.Method, r.Host, r.URL.Path)
	return found && matched.Repeatable
}

// serve serves until the listener closes.
func (s *callerServer) serve() error {
	defer close(s.done)
	return s.Serve(s.listener)
}

// stop closes the listener and waits for the requests on the accepted connections. It closes the connections if ctx
// ends first.
func (s *callerServer) stop(ctx context.Context) {
	_ = s.listener.Close()
	<-s.done
	pendingCtx, cancel := context.WithTimeout(ctx, pendingRequestTimeout)
	defer cancel()
	s.AwaitRequests(pendingCtx)
	if s.Shutdown(ctx) != nil {
		s.Close()
	}
}

package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"sapphirespread.example/internal/host/framing"
	"sapphirespread.example/internal/settings"
)

// pendingRequestTimeout is the maximum wait for requests on accepted connections before the server shuts down.
const pendingRequestTimeout = time.Second

// A server serves on one listener until it is stopped.
type server interface {
	serve() error
	stop(ctx context.Context)
}

// An httpServer serves HTTP on one listener.
type httpServer struct {
	*http.Server
	listener net.Listener
	done     chan struct{}
	busy     *busyConnections
}

func newHTTPServer(listener net.Listener, handler http.Handler, timeouts settings.Timeouts) *httpServer {
	busy := newBusyConnections()
	return &httpServer{
		Server: &http.Server{
			ConnState:         busy.setState,
			Handler:           framing.Guard(handler),
			ReadHeaderTimeout: timeouts.ReadHeader,
			IdleTimeout:       timeouts.Idle,
			MaxHeaderBytes:    maxHeaderBytes,
		},
		listener: listener,
		done:     make(chan struct{}),
		busy:     busy,
	}
}

// serve serves until the listener closes, which is not an error.
func (s *httpServer) serve() error {
	defer close(s.done)
	err := s.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// stop closes the listener and waits for the requests on the accepted connections. It closes the connections if ctx
// ends first.
func (s *httpServer) stop(ctx context.Context) {
	_ = s.listener.Close()
	<-s.done
	// Shutdown would drop a request whose headers are still being read.
	pendingCtx, cancel := context.WithTimeout(ctx, pendingRequestTimeout)
	defer cancel()
	_ = s.busy.wait(pendingCtx)
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"sapphirespread.example/internal/settings"
)

const pendingRequestTimeout = time.Second

// A httpServer serves one listener.
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
			ConnState:         busy.changed,
			Handler:           handler,
			ReadHeaderTimeout: timeouts.ReadHeader,
			IdleTimeout:       timeouts.Idle,
			MaxHeaderBytes:    maxHeaderBytes,
		},
		listener: listener,
		done:     make(chan struct{}),
		busy:     busy,
	}
}

func (s *httpServer) serve() error {
	defer close(s.done)
	err := s.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// stop accepts no more, and finishes the requests on all connections that were accepted.
func (s *httpServer) stop(ctx context.Context) {
	_ = s.listener.Close()
	<-s.done
	// Shutdown drops a request that is being read.
	pendingCtx, cancel := context.WithTimeout(ctx, pendingRequestTimeout)
	defer cancel()
	_ = s.busy.wait(pendingCtx)
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/internal/host/accept"
	"sapphirespread.example/internal/host/budget"
)

// pollPeriod is the time between two looks at the connections of a stopping server.
const pollPeriod = 5 * time.Millisecond

// A Server serves the requests of callers on their connections.
type Server struct {
	handler            http.Handler
	readHeaderTimeout  time.Duration
	idleTimeout        time.Duration
	maxHeaderBytes     int
	maxConcurrent      int
	mayRunConcurrently func(*http.Request) bool
	logger             zerolog.Logger
	budget             *budget.Budget
	maxBodyBytes       int64
	refuse             http.HandlerFunc
	stallTimeout       time.Duration
	shortage           shortageLog
	// refused is the number of refused connections that are about to close.
	refused     atomic.Int32
	mu          sync.Mutex
	connections map[*connection]struct{}
	stopping    bool
}

// New returns a server of handler.
func New(handler http.Handler, options ...Option) *Server {
	s := &Server{
		handler:            handler,
		readHeaderTimeout:  defaultReadHeaderTimeout,
		idleTimeout:        defaultIdleTimeout,
		maxHeaderBytes:     defaultMaxHeaderBytes,
		maxConcurrent:      defaultMaxConcurrent,
		mayRunConcurrently: func(*http.Request) bool { return false },
		logger:             zerolog.Nop(),
		budget:             budget.New(budget.Limits{}),
		maxBodyBytes:       defaultMaxBodyBytes,
		refuse:             refuseWithoutRoom,
		connections:        make(map[*connection]struct{}),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Serve accepts connections until the listener is closed, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	return accept.Loop(listener, s.start, func(err error) {
		s.logger.Warn().Err(err).Msg("callers: accepting a connection failed")
	})
}

func (s *Server) start(conn net.Conn) {
	c := newConnection(s, conn)
	if !c.open() {
		s.refuseConnection(conn)
		s.logShortage()
		return
	}
	s.mu.Lock()
	s.connections[c] = struct{}{}
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		c.stop()
	}
	go func() {
		defer s.remove(c)
		c.serve()
	}()
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

func (s *Server) all() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	connections := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		connections = append(connections, c)
	}
	return connections
}

// AwaitRequests waits until no connection has a request in progress or is still to send its first one, or until ctx ends.
func (s *Server) AwaitRequests(ctx context.Context) {
	poll(ctx, func() bool {
		for _, c := range s.all() {
			if c.busy() {
				return false
			}
		}
		return true
	})
}

// Shutdown closes idle connections, and the others after the answers to the requests that were read. The listener must be
// closed before. It returns the error of ctx if that ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	for _, c := range s.all() {
		c.stop()
	}
	if !poll(ctx, func() bool { return len(s.all()) == 0 }) {
		return ctx.Err()
	}
	return nil
}

// Close closes all connections at once.
func (s *Server) Close() {
	for _, c := range s.all() {
		c.abort()
	}
}

// poll waits until condition holds, and returns false if ctx ends first.
func poll(ctx context.Context, condition func() bool) bool {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return condition()
		}
	}
	return true
}

package peer

import (
	"context"
	"crypto/tls"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"

	"sapphirespread.example/internal/host/accept"
	"sapphirespread.example/internal/peer/peerpb"
)

// A Handler serves one stream. The stream is closed when the handler returns, and ctx is canceled when the session
// ends.
type Handler func(ctx context.Context, from Identity, stream *Stream)

// A Server accepts sessions and passes each stream to the handler of its kind.
type Server struct {
	self     Identity
	tls      *tls.Config
	logger   zerolog.Logger
	mu       sync.Mutex
	handlers map[string]Handler
	conns    map[net.Conn]struct{}
	listener net.Listener
	closed   bool
	running  sync.WaitGroup
}

// A ServerOption configures a Server.
type ServerOption func(*Server)

// WithServerTLS makes the server require TLS with the given configuration.
func WithServerTLS(config *tls.Config) ServerOption {
	return func(s *Server) { s.tls = config }
}

// WithServerLogger sets the logger for rejected sessions and streams.
func WithServerLogger(logger zerolog.Logger) ServerOption {
	return func(s *Server) { s.logger = logger }
}

// NewServer returns a server that identifies this process as self.
func NewServer(self Identity, options ...ServerOption) *Server {
	server := &Server{
		self:     self,
		logger:   zerolog.Nop(),
		handlers: make(map[string]Handler),
		conns:    make(map[net.Conn]struct{}),
	}
	for _, option := range options {
		option(server)
	}
	return server
}

// Handle sets the handler for streams of the given kind. It must be called before Serve.
func (s *Server) Handle(kind string, handler Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[kind] = handler
}

// Serve accepts sessions on listener until Close is called and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return listener.Close()
	}
	return accept.Loop(listener, func(conn net.Conn) {
		if s.track(conn) {
			go s.serveConn(conn)
		}
	}, func(err error) {
		s.logger.Warn().Err(err).Msg("peer: accepting a connection failed")
	})
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = struct{}{}
	s.running.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.running.Done()
}

// Close stops the listener, closes all sessions and waits until their handlers have returned.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	listener := s.listener
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	var err error
	if listener != nil {
		err = listener.Close()
	}
	s.running.Wait()
	return err
}

func (s *Server) serveConn(tcpConn net.Conn) {
	defer s.untrack(tcpConn)
	conn := tcpConn
	if s.tls != nil {
		conn = tls.Server(tcpConn, s.tls)
	}
	session, from, err := s.acceptSession(conn)
	if err != nil {
		s.logger.Warn().Err(err).Stringer("address", tcpConn.RemoteAddr()).Msg("peer: session refused")
		return
	}
	s.serveStreams(session, from)
}

func (s *Server) acceptSession(conn net.Conn) (*session, Identity, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, Identity{}, err
	}
	session, err := newSession(conn, yamux.Server)
	if err != nil {
		return nil, Identity{}, err
	}
	from, err := s.acceptHandshake(session)
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	if err != nil {
		_ = session.Close()
		return nil, Identity{}, err
	}
	return session, from, nil
}

func (s *Server) acceptHandshake(session *session) (Identity, error) {
	stream, err := session.acceptStream()
	if err != nil {
		return Identity{}, err
	}
	defer func() { _ = stream.Close() }()
	return serverHandshake(stream, s.self)
}

func (s *Server) serveStreams(session *session, from Identity) {
	ctx, cancel := context.WithCancel(context.Background())
	var streams sync.WaitGroup
	defer streams.Wait()
	defer cancel()
	defer func() { _ = session.Close() }()
	for {
		stream, err := session.acceptStream()
		if err != nil {
			return
		}
		streams.Go(func() { s.serveStream(ctx, from, stream) })
	}
}

// recoverPanic ends a stream whose handler panicked, so that one message can't end the process.
func (s *Server) recoverPanic(from Identity) {
	if cause := recover(); cause != nil {
		s.logger.Error().Any("panic", cause).Bytes("stack", debug.Stack()).Str("process", from.Process).Msg("peer: the handler of a stream failed")
	}
}

func (s *Server) serveStream(ctx context.Context, from Identity, stream *Stream) {
	defer func() { _ = stream.Close() }()
	defer s.recoverPanic(from)
	_ = stream.SetReadDeadline(time.Now().Add(handshakeTimeout))
	var header peerpb.StreamHeader
	if err := stream.Receive(&header); err != nil {
		s.logger.Warn().Err(err).Str("process", from.Process).Msg("peer: receiving the stream header failed")
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	s.mu.Lock()
	handler := s.handlers[header.GetKind()]
	s.mu.Unlock()
	if handler == nil {
		s.logger.Warn().Str("kind", header.GetKind()).Str("process", from.Process).Msg("peer: stream of an unknown kind")
		return
	}
	handler(ctx, from, stream)
}

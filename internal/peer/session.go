package peer

import (
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	keepAliveInterval = time.Second
	writeTimeout      = 3 * time.Second
	streamWindowBytes = 256 << 10
	acceptBacklog     = 4096
	streamOpenTimeout = 5 * time.Second
	closeTimeout      = 10 * time.Second
)

func sessionConfig() *yamux.Config {
	return &yamux.Config{
		AcceptBacklog:          acceptBacklog,
		EnableKeepAlive:        true,
		KeepAliveInterval:      keepAliveInterval,
		ConnectionWriteTimeout: writeTimeout,
		MaxStreamWindowSize:    streamWindowBytes,
		StreamOpenTimeout:      streamOpenTimeout,
		StreamCloseTimeout:     closeTimeout,
		LogOutput:              io.Discard,
	}
}

// A session is a yamux session with its open streams.
type session struct {
	*yamux.Session
	streams *openStreams
}

// newSession starts a session on conn with yamux.Client or yamux.Server.
func newSession(conn net.Conn, start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*session, error) {
	streams := newOpenStreams()
	inner, err := start(&interruptingConn{Conn: newFrameConn(conn), streams: streams}, sessionConfig())
	if err != nil {
		return nil, err
	}
	return &session{Session: inner, streams: streams}, nil
}

// openStream opens a stream.
func (s *session) openStream() (*Stream, error) {
	inner, err := s.OpenStream()
	if err != nil {
		return nil, err
	}
	return newStream(inner, s.streams), nil
}

// acceptStream waits for a stream that the peer opens.
func (s *session) acceptStream() (*Stream, error) {
	inner, err := s.AcceptStream()
	if err != nil {
		return nil, err
	}
	return newStream(inner, s.streams), nil
}

// dialSession starts a session on conn and performs the handshake. It closes conn if either fails.
func dialSession(conn net.Conn, self Identity) (*session, Identity, error) {
	session, err := newSession(conn, yamux.Client)
	if err != nil {
		_ = conn.Close()
		return nil, Identity{}, err
	}
	peer, err := openHandshake(session, self)
	if err != nil {
		_ = session.Close()
		return nil, Identity{}, err
	}
	return session, peer, nil
}

func openHandshake(session *session, self Identity) (Identity, error) {
	stream, err := session.openStream()
	if err != nil {
		return Identity{}, err
	}
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout))
	return clientHandshake(stream, self)
}

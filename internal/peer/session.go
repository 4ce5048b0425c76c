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

// dialSession starts a session on conn and performs the handshake. It closes conn if either fails.
func dialSession(conn net.Conn, self Identity) (*yamux.Session, Identity, error) {
	session, err := yamux.Client(newFrameConn(conn), sessionConfig())
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

func openHandshake(session *yamux.Session, self Identity) (Identity, error) {
	inner, err := session.OpenStream()
	if err != nil {
		return Identity{}, err
	}
	stream := newStream(inner)
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout))
	return clientHandshake(stream, self)
}

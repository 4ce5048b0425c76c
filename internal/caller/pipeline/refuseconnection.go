package pipeline

import (
	"io"
	"net"
	"time"
)

// maxRefusedConnections is the number of refused connections whose clients are given time to read the refusal.
const maxRefusedConnections = 32

// connectionRefusal tells a client that nothing of its requests has been read.
const connectionRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// refuseConnection refuses a connection for which there is no room, without reading from it. It never waits for the
// client.
func (s *Server) refuseConnection(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.WriteString(conn, connectionRefusal)
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || s.refused.Add(1) > maxRefusedConnections {
		if ok {
			s.refused.Add(-1)
		}
		_ = conn.Close()
		return
	}
	_ = half.CloseWrite()
	go func() {
		defer s.refused.Add(-1)
		defer func() { _ = conn.Close() }()
		// Closing a connection with unread bytes resets it, and the client could lose the refusal.
		_, _ = io.CopyN(io.Discard, conn, maxDiscardedBytes)
	}()
}

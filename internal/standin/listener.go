package standin

import (
	"net"
	"sync"
)

// Listener is a net.Listener that tracks its open connections, so that a simulated crash can reset them.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

// NewListener returns a Listener that accepts connections from inner.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: make(map[*trackedConn]struct{})}
}

// Accept waits for the next connection, tracks it and returns it.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	return conn, nil
}

// Count returns the number of open connections.
func (l *Listener) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Reset closes the listener and resets all open connections.
func (l *Listener) Reset() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		// With a linger time of 0, Close sends a TCP reset.
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Conn.Close()
	}
	clear(l.conns)
}

// trackedConn is an open connection of a Listener.
type trackedConn struct {
	net.Conn
	listener *Listener
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

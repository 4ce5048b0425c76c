package standin

import (
	"net"
	"sync"
)

// A Listener knows its open connections, so that a crash can reset them.
type Listener struct {
	net.Listener
	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

// NewListener returns a Listener that accepts from inner.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, open: make(map[*trackedConn]struct{})}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = struct{}{}
	return conn, nil
}

// Count returns the number of open connections.
func (l *Listener) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Reset closes the listener and resets all its connections.
func (l *Listener) Reset() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		if tcp, is := conn.Conn.(*net.TCPConn); is {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Conn.Close()
	}
	clear(l.open)
}

type trackedConn struct {
	net.Conn
	listener *Listener
}

// Close closes the connection and forgets it.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

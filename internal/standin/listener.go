package standin

import (
	"net"
	"sync"
)

// trackedListener knows its open connections, so that a crash can reset them.
type trackedListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

func newTrackedListener(inner net.Listener) *trackedListener {
	return &trackedListener{Listener: inner, open: make(map[*trackedConn]struct{})}
}

// Accept returns the next connection.
func (l *trackedListener) Accept() (net.Conn, error) {
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

func (l *trackedListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// reset closes the listener and resets all its connections.
func (l *trackedListener) reset() {
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
	listener *trackedListener
}

// Close closes the connection and forgets it.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

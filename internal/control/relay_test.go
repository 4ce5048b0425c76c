package control_test

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync"
)

const helloBytes = 256

// relay forwards TCP connections to one process. While it is stalled, data is held back without an error, as in a
// network partition. While it is muted, only data from the target is held back.
type relay struct {
	listener    net.Listener
	target      netip.AddrPort
	mu          sync.Mutex
	changed     *sync.Cond
	stalled     bool
	stalledFrom map[string]bool
	muted       bool
	refusing    bool
	conns       []*relayedConn
}

// relayedConn is a connection through a relay. Its first bytes, kept in hello, name the dialing process.
type relayedConn struct {
	from, to net.Conn
	hello    []byte
}

func newRelay(listener net.Listener, target netip.AddrPort) *relay {
	r := &relay{listener: listener, target: target, stalledFrom: make(map[string]bool)}
	r.changed = sync.NewCond(&r.mu)
	go r.serve()
	return r
}

func (r *relay) serve() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", r.target.String())
		if err != nil {
			_ = from.Close()
			continue
		}
		conn := &relayedConn{from: from, to: to}
		r.mu.Lock()
		r.conns = append(r.conns, conn)
		if r.refusing {
			conn.close()
		}
		r.mu.Unlock()
		go r.forward(conn, true)
		go r.forward(conn, false)
	}
}

func (c *relayedConn) close() {
	_ = c.from.Close()
	_ = c.to.Close()
}

// forward copies one direction of a connection until it ends.
func (r *relay) forward(conn *relayedConn, fromDialer bool) {
	from, to := conn.from, conn.to
	if !fromDialer {
		from, to = to, from
	}
	defer to.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.awaitOpen(conn, fromDialer, buffer[:n])
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// awaitOpen records the first bytes from the dialer and blocks while the connection is stalled or muted.
func (r *relay) awaitOpen(conn *relayedConn, fromDialer bool, read []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fromDialer && len(conn.hello) < helloBytes {
		conn.hello = append(conn.hello, read...)
	}
	for r.stalled || r.muted && !fromDialer || r.isStalled(conn) {
		r.changed.Wait()
	}
}

func (r *relay) isStalled(conn *relayedConn) bool {
	for name, stalled := range r.stalledFrom {
		if stalled && bytes.Contains(conn.hello, []byte(name)) {
			return true
		}
	}
	return false
}

func (r *relay) setStalled(stalled bool) {
	r.change(func() { r.stalled = stalled })
}

// setStalledFrom stalls the connections that the named process has dialed.
func (r *relay) setStalledFrom(name string, stalled bool) {
	r.change(func() { r.stalledFrom[name] = stalled })
}

// setRefusing makes the relay close all open and new connections.
func (r *relay) setRefusing(refusing bool) {
	r.change(func() {
		r.refusing = refusing
		for _, conn := range r.conns {
			if refusing {
				conn.close()
			}
		}
	})
}

func (r *relay) change(apply func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply()
	r.changed.Broadcast()
}

// close closes the listener and all connections, and releases stalled data.
func (r *relay) close() {
	_ = r.listener.Close()
	r.setRefusing(true)
	r.change(func() {
		r.stalled, r.muted = false, false
		clear(r.stalledFrom)
	})
}

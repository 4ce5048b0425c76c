package daemon

import (
	"net"
	"net/http"
	"sync"
)

// A busyConnections counts the connections from which a request is awaited for the first time, read or answered.
type busyConnections struct {
	*inFlight
	mu   sync.Mutex
	busy map[net.Conn]bool
}

func newBusyConnections() *busyConnections {
	return &busyConnections{inFlight: newInFlight(), busy: make(map[net.Conn]bool)}
}

// changed takes the new state of conn.
func (b *busyConnections) setState(conn net.Conn, state http.ConnState) {
	busy := state == http.StateNew || state == http.StateActive
	b.mu.Lock()
	defer b.mu.Unlock()
	if busy == b.busy[conn] {
		return
	}
	if busy {
		b.busy[conn] = true
		b.add()
		return
	}
	delete(b.busy, conn)
	b.done()
}

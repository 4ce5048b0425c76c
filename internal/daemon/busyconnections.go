package daemon

import (
	"net"
	"net/http"
	"sync"
)

// busyConnections counts connections that have not sent their first request yet or have a request in progress. Idle
// keep-alive connections don't count.
type busyConnections struct {
	*inFlight
	mu   sync.Mutex
	busy map[net.Conn]bool
}

func newBusyConnections() *busyConnections {
	return &busyConnections{inFlight: newInFlight(), busy: make(map[net.Conn]bool)}
}

// setState updates the count for the new state of conn.
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

package daemon_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// breakage is the point at which a relay breaks its connections. Only a chunk of at least minMessageBytes, which is
// more than a ping has, counts as a message.
type breakage int

const (
	breakNever breakage = iota
	breakBeforeRequest
	breakInRequest
	breakAfterRequest
	breakBeforeAnswer
	breakInAnswer
	freeze
)

const minMessageBytes = 64

// relay is a TCP proxy to one address that breaks its connections at the armed point.
type relay struct {
	listener net.Listener
	target   netip.AddrPort
	mu       sync.Mutex
	next     breakage
	delay    time.Duration // of each chunk, in each direction
	conns    []net.Conn
}

func newRelay(t testing.TB, target netip.AddrPort) *relay {
	r := &relay{listener: listen(t), target: target}
	t.Cleanup(func() {
		_ = r.listener.Close()
		r.reset()
	})
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
		r.mu.Lock()
		r.conns = append(r.conns, from, to)
		r.mu.Unlock()
		go r.forward(to, from, breakBeforeRequest, breakInRequest, breakAfterRequest)
		go r.forward(from, to, breakBeforeAnswer, breakInAnswer, breakNever)
	}
}

// forward copies one direction and breaks the connections before, in or after a message if that point is armed.
func (r *relay) forward(to, from net.Conn, before, in, after breakage) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(r.currentDelay())
		fault := r.faultFor(n)
		switch {
		case fault == freeze:
			continue
		case fault != breakNever && fault == before:
			r.reset()
			return
		case fault != breakNever && fault == in:
			_, _ = to.Write(buffer[:n/2])
			r.reset()
			return
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
		if fault != breakNever && fault == after {
			r.reset()
			return
		}
	}
}

// faultFor returns the point at which a chunk of n bytes breaks the connections.
func (r *relay) faultFor(n int) breakage {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != freeze && n < minMessageBytes {
		return breakNever
	}
	return r.next
}

func (r *relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

// setDelay delays all later chunks.
func (r *relay) setDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// arm sets the point at which the next message breaks the connections.
func (r *relay) arm(next breakage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = next
}

// reset disarms the relay and resets all of its connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = breakNever
	for _, conn := range r.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	r.conns = nil
}

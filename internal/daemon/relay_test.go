package daemon_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"
)

// The moments at which a relay breaks a connection; a message is what is too large for a ping.
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

// A relay passes connections on to one daemon, and breaks them where a test says so.
type relay struct {
	listener net.Listener
	target   netip.AddrPort
	mu       sync.Mutex
	next     breakage
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

// pass copies one direction, in which a message may be broken before, in and after it.
func (r *relay) forward(to, from net.Conn, before, in, after breakage) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
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

func (r *relay) faultFor(n int) breakage {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != freeze && n < minMessageBytes {
		return breakNever
	}
	return r.next
}

// arm breaks the connections at the next message.
func (r *relay) arm(next breakage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = next
}

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

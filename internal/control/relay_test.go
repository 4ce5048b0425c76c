package control_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
)

// relay passes connections on to one process; while it is cut, bytes stay where they are without an error.
type relay struct {
	listener net.Listener
	target   netip.AddrPort
	mu       sync.Mutex
	open     *sync.Cond
	cut      bool
	conns    []net.Conn
}

func newRelay(listener net.Listener, target netip.AddrPort) *relay {
	r := &relay{listener: listener, target: target}
	r.open = sync.NewCond(&r.mu)
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
		go r.pass(to, from)
		go r.pass(from, to)
	}
}

func (r *relay) pass(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.wait()
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

func (r *relay) wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cut {
		r.open.Wait()
	}
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.open.Broadcast()
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.setCut(false)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
}

package control_test

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync"
)

const helloBytes = 256

// relay passes connections on to one process; what is cut stays where it is without an error.
type relay struct {
	listener net.Listener
	target   netip.AddrPort
	mu       sync.Mutex
	open     *sync.Cond
	cut      bool
	cutFrom  map[string]bool
	muted    bool
	refusing bool
	conns    []*relayed
}

// relayed is one connection through a relay, with its first bytes, which name the dialing process.
type relayed struct {
	from, to net.Conn
	hello    []byte
}

func newRelay(listener net.Listener, target netip.AddrPort) *relay {
	r := &relay{listener: listener, target: target, cutFrom: make(map[string]bool)}
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
		conn := &relayed{from: from, to: to}
		r.mu.Lock()
		r.conns = append(r.conns, conn)
		if r.refusing {
			conn.close()
		}
		r.mu.Unlock()
		go r.pass(conn, true)
		go r.pass(conn, false)
	}
}

func (c *relayed) close() {
	_ = c.from.Close()
	_ = c.to.Close()
}

func (r *relay) pass(conn *relayed, onward bool) {
	from, to := conn.from, conn.to
	if !onward {
		from, to = to, from
	}
	defer to.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.wait(conn, onward, buffer[:n])
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

func (r *relay) wait(conn *relayed, onward bool, read []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if onward && len(conn.hello) < helloBytes {
		conn.hello = append(conn.hello, read...)
	}
	for r.cut || r.muted && !onward || r.isCut(conn) {
		r.open.Wait()
	}
}

func (r *relay) isCut(conn *relayed) bool {
	for name, cut := range r.cutFrom {
		if cut && bytes.Contains(conn.hello, []byte(name)) {
			return true
		}
	}
	return false
}

func (r *relay) setCut(cut bool) {
	r.change(func() { r.cut = cut })
}

// setCutFrom cuts the connections that the process of that name has dialed.
func (r *relay) setCutFrom(name string, cut bool) {
	r.change(func() { r.cutFrom[name] = cut })
}

// setRefusing closes all connections, and new ones at once.
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
	r.open.Broadcast()
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.setRefusing(true)
	r.change(func() {
		r.cut, r.muted = false, false
		clear(r.cutFrom)
	})
}

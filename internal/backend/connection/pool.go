package connection

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// A Pool keeps idle connections to one backend server at a time. It is safe for concurrent use.
type Pool struct {
	dialTimeout time.Duration
	idleTimeout time.Duration
	mu          sync.Mutex
	address     netip.AddrPort
	idle        []*link // the one used last is at the end
}

// NewPool returns a pool without connections.
func NewPool(opts ...Option) *Pool {
	p := &Pool{dialTimeout: defaultDialTimeout, idleTimeout: defaultIdleTimeout}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// An Exchange is one request with what decides on its answer.
type Exchange struct {
	Request *http.Request
	// Sent is called once a connection is there, before the first byte is written.
	Sent func()
	// Own reports whether an answer with this head is that of the request; nil takes any.
	Own func(status int, header http.Header) bool
}

// Do sends the request and returns the head of its answer. Where it fails before Sent was called, no byte was sent.
// The body must be read to its end or closed.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, e Exchange) (*http.Response, error) {
	l, err := p.take(ctx, address)
	if err != nil {
		return nil, err
	}
	e.Sent()
	return l.exchange(ctx, e)
}

// CloseIdle closes the connections on which no request is under way.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(idle)
}

func (p *Pool) take(ctx context.Context, address netip.AddrPort) (*link, error) {
	for {
		l := p.pop(address)
		if l == nil {
			return p.dial(ctx, address)
		}
		if l.usable(time.Now()) {
			return l, nil
		}
		l.close()
	}
}

// pop returns the connection that was used last, or nil. Connections to another address are closed.
func (p *Pool) pop(address netip.AddrPort) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != address {
		go closeAll(p.idle)
		p.idle, p.address = nil, address
	}
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	l := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return l
}

// put keeps a connection whose exchange has ended cleanly.
func (p *Pool) put(l *link) {
	p.mu.Lock()
	keep := p.address == l.address && len(p.idle) < defaultMaximumIdle
	var stale []*link
	if keep {
		stale = p.dropStale(time.Now())
		p.idle = append(p.idle, l)
	}
	p.mu.Unlock()
	closeAll(stale)
	if !keep {
		l.close()
	}
}

// dropStale takes out the connections that were idle for too long; p.mu is held.
func (p *Pool) dropStale(now time.Time) []*link {
	count := 0
	for count < len(p.idle) && !now.Before(p.idle[count].staleAt) {
		count++
	}
	if count == 0 {
		return nil
	}
	stale := append([]*link(nil), p.idle[:count]...)
	p.idle = append(p.idle[:0], p.idle[count:]...)
	return stale
}

func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (*link, error) {
	dialer := net.Dialer{Timeout: p.dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return newLink(p, address, conn), nil
}

func closeAll(links []*link) {
	for _, l := range links {
		l.close()
	}
}

package connection

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// A Pool keeps idle connections to one address at a time. It is safe for concurrent use.
type Pool struct {
	dialTimeout time.Duration
	idleTimeout time.Duration
	mu          sync.Mutex
	address     netip.AddrPort
	idle        []*persistentConn // in order of last use, the most recent one last
	waiters     []*waiter         // in order of arrival
	returns     returns
	wait        atomic.Int64 // nanoseconds, see SetWait
	counters    counters
}

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	p := &Pool{dialTimeout: defaultDialTimeout, idleTimeout: defaultIdleTimeout}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// An Exchange is a request with the callbacks that control its round trip.
type Exchange struct {
	Request *http.Request
	// Key identifies the request in its responses, or is empty. A connection carries it once: a second response to the first
	// request could not be told from that to the second one.
	Key string
	// BeforeWrite is called after a connection was acquired and before the first byte of the request is written.
	BeforeWrite func()
	// BelongsToRequest reports whether a response with this status and header belongs to the request. If BelongsToRequest
	// is nil, every response does.
	BelongsToRequest func(status int, header http.Header) bool
}

// Do sends the request and returns its response, whose body must be read to its end or closed. If Do fails before Sent
// is called, no byte of the request was sent.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, e Exchange) (*http.Response, error) {
	conn, err := p.acquire(ctx, address, e.Key)
	if err != nil {
		return nil, err
	}
	e.BeforeWrite()
	return conn.roundTrip(ctx, e)
}

// CloseIdle closes the idle connections. Connections with a request in progress are not affected.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(idle)
}

func (p *Pool) acquire(ctx context.Context, address netip.AddrPort, key string) (*persistentConn, error) {
	for {
		conn := p.popIdle(address, key)
		if conn == nil {
			if conn = p.awaitReturned(ctx, address, key); conn == nil {
				p.counters.opened.Add(1)
				return p.dial(ctx, address)
			}
			p.counters.awaited.Add(1)
		}
		if conn.usable(time.Now()) {
			p.counters.reused.Add(1)
			return conn, nil
		}
		conn.close()
	}
}

// popIdle removes and returns the most recently used idle connection that has not carried key, or nil. It closes
// connections to another address, and the oldest one if all have carried key: requests that repeat a key would otherwise add
// connections without end.
func (p *Pool) popIdle(address netip.AddrPort, key string) *persistentConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != address {
		go closeAll(p.idle)
		p.idle, p.address = nil, address
	}
	return p.takeIdle(key)
}

// takeIdle removes and returns the most recently used idle connection that has not carried key, or nil. The caller must
// hold p.mu.
func (p *Pool) takeIdle(key string) *persistentConn {
	for i, conn := range slices.Backward(p.idle) {
		if !conn.hasCarried(key) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return conn
		}
	}
	if len(p.idle) > 0 {
		go p.idle[0].close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	return nil
}

// putIdle adds a connection after a complete exchange. It closes the connection if the pool is full or has changed to
// another address.
func (p *Pool) putIdle(conn *persistentConn) {
	now := time.Now()
	p.mu.Lock()
	p.returns.observe(now)
	if p.handOver(conn) {
		p.mu.Unlock()
		return
	}
	keep := p.address == conn.address && len(p.idle) < maxIdleConnections
	var stale []*persistentConn
	if keep {
		stale = p.removeStale(now)
		p.idle = append(p.idle, conn)
	}
	p.mu.Unlock()
	closeAll(stale)
	if !keep {
		conn.close()
	}
}

// removeStale removes and returns the connections whose idle timeout has expired, up to the first one that is not
// stale. The caller must hold p.mu.
func (p *Pool) removeStale(now time.Time) []*persistentConn {
	count := 0
	for count < len(p.idle) && !now.Before(p.idle[count].staleAt) {
		count++
	}
	if count == 0 {
		return nil
	}
	stale := append([]*persistentConn(nil), p.idle[:count]...)
	p.idle = append(p.idle[:0], p.idle[count:]...)
	return stale
}

func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (*persistentConn, error) {
	dialer := net.Dialer{Timeout: p.dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return newPersistentConn(p, address, conn), nil
}

func closeAll(conns []*persistentConn) {
	for _, conn := range conns {
		conn.close()
	}
}

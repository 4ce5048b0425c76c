package connection

import (
	"context"
	"net/netip"
	"slices"
	"time"
)

// returnWeight is the weight of one interval in the mean interval between returned connections.
const returnWeight = 0.1

// A waiter is a request that waits for a connection in use to be returned.
type waiter struct {
	address netip.AddrPort
	key     string
	conn    chan *persistentConn
}

// returns measures how often connections are returned.
type returns struct {
	at       time.Time
	interval time.Duration // moving average, or 0 if unknown
}

func (r *returns) observe(now time.Time) {
	if !r.at.IsZero() {
		sample := now.Sub(r.at)
		if r.interval == 0 {
			r.interval = sample
		}
		r.interval += time.Duration(returnWeight * float64(sample-r.interval))
	}
	r.at = now
}

// expected reports whether the nth next connection is expected within wait. While none has been returned for as long, it
// is not.
func (r *returns) expected(now time.Time, n int, wait time.Duration) bool {
	return r.interval > 0 && time.Duration(n)*r.interval <= wait && now.Sub(r.at) <= wait
}

// SetWait sets how long a request waits for a connection in use, if one is expected to be returned meanwhile, before it
// opens a new one. The default is not to wait.
func (p *Pool) SetWait(wait time.Duration) { p.wait.Store(int64(wait)) }

// awaitReturned waits for a connection to be returned, or returns nil if none is.
func (p *Pool) awaitReturned(ctx context.Context, address netip.AddrPort, key string) *persistentConn {
	wait := time.Duration(p.wait.Load())
	if wait <= 0 {
		return nil
	}
	w := &waiter{address: address, key: key, conn: make(chan *persistentConn, 1)}
	p.mu.Lock()
	var conn *persistentConn
	if p.address == address {
		conn = p.takeIdle(key) // returned meanwhile
	}
	if conn != nil || !p.returns.expected(time.Now(), len(p.waiters)+1, wait) {
		p.mu.Unlock()
		return conn
	}
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case conn := <-w.conn:
		return conn
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		return nil
	}
	return <-w.conn
}

// handOver passes a returned connection to the first waiter that can use it. The caller must hold p.mu.
func (p *Pool) handOver(conn *persistentConn) bool {
	for i, w := range p.waiters {
		if w.address == conn.address && !conn.hasCarried(w.key) {
			p.waiters = slices.Delete(p.waiters, i, i+1)
			w.conn <- conn
			return true
		}
	}
	return false
}

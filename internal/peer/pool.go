package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/internal/peer/peerpb"
)

const defaultDialTimeout = 2 * time.Second

// A Pool opens streams to peers and reuses one session per address. It is safe for concurrent use.
type Pool struct {
	self        Identity
	tls         *tls.Config
	dialTimeout time.Duration
	logger      zerolog.Logger
	mu          sync.Mutex
	entries     map[netip.AddrPort]*poolEntry
	closed      bool
}

// poolEntry is the session to an address. Its session and err are set when ready is closed.
type poolEntry struct {
	ready   chan struct{}
	session *session
	err     error
}

// A PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithPoolTLS makes the pool connect over TLS with the given configuration.
func WithPoolTLS(config *tls.Config) PoolOption {
	return func(p *Pool) { p.tls = config }
}

// WithDialTimeout limits the time to establish a connection, including the TLS handshake.
func WithDialTimeout(timeout time.Duration) PoolOption {
	return func(p *Pool) { p.dialTimeout = timeout }
}

// WithPoolLogger sets the logger for opened sessions and failed dials.
func WithPoolLogger(logger zerolog.Logger) PoolOption {
	return func(p *Pool) { p.logger = logger }
}

// NewPool returns a pool that identifies this process as self.
func NewPool(self Identity, options ...PoolOption) *Pool {
	pool := &Pool{
		self:        self,
		dialTimeout: defaultDialTimeout,
		logger:      zerolog.Nop(),
		entries:     make(map[netip.AddrPort]*poolEntry),
	}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// Open opens a stream of the given kind to address, on the existing session or a new one. If it returns an error, no
// message of the caller has been sent.
func (p *Pool) Open(ctx context.Context, address netip.AddrPort, kind string) (*Stream, error) {
	const maxAttempts = 2
	var err error
	for range maxAttempts {
		var stream *Stream
		stream, err = p.openOnce(ctx, address, kind)
		if err == nil {
			return stream, nil
		}
		if ctx.Err() != nil || !errors.Is(err, errSessionLost) {
			break
		}
	}
	return nil, fmt.Errorf("opening a %s stream to %s: %w", kind, address, err)
}

var errSessionLost = errors.New("session lost")

func (p *Pool) openOnce(ctx context.Context, address netip.AddrPort, kind string) (*Stream, error) {
	entry, err := p.entryFor(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-entry.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if entry.err != nil {
		return nil, entry.err
	}
	stream, err := entry.session.openStream()
	if err != nil {
		p.removeEntry(address, entry)
		return nil, errors.Join(errSessionLost, err)
	}
	if err := stream.Send(&peerpb.StreamHeader{Kind: kind}); err != nil {
		_ = stream.Close()
		p.removeEntry(address, entry)
		return nil, errors.Join(errSessionLost, err)
	}
	return stream, nil
}

func (p *Pool) entryFor(address netip.AddrPort) (*poolEntry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, net.ErrClosed
	}
	entry, found := p.entries[address]
	if found && !entry.lost() {
		return entry, nil
	}
	entry = &poolEntry{ready: make(chan struct{})}
	p.entries[address] = entry
	go p.dial(address, entry)
	return entry, nil
}

// lost reports whether the dial failed or the session was closed.
func (e *poolEntry) lost() bool {
	select {
	case <-e.ready:
		return e.err != nil || e.session.IsClosed()
	default:
		return false
	}
}

func (p *Pool) dial(address netip.AddrPort, entry *poolEntry) {
	session, peer, err := p.dialSession(address)
	p.mu.Lock()
	if err == nil && p.closed {
		_ = session.Close()
		err = net.ErrClosed
	}
	entry.session, entry.err = session, err
	p.mu.Unlock()
	close(entry.ready)
	if err != nil {
		p.removeEntry(address, entry)
		p.logger.Debug().Err(err).Stringer("address", address).Msg("peer: dial failed")
		return
	}
	p.logger.Debug().Str("process", peer.Process).Stringer("address", address).Msg("peer: session opened")
}

func (p *Pool) dialSession(address netip.AddrPort) (*session, Identity, error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, Identity{}, err
	}
	if p.tls != nil {
		tlsConn := tls.Client(conn, p.tls)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, Identity{}, err
		}
		conn = tlsConn
	}
	return dialSession(conn, p.self)
}

// Ping pings the peer at address over the existing session and reports whether it responded in time. Without a session
// it returns false.
func (p *Pool) Ping(address netip.AddrPort) bool {
	p.mu.Lock()
	entry := p.entries[address]
	p.mu.Unlock()
	if entry == nil {
		return false
	}
	<-entry.ready
	if entry.err != nil {
		return false
	}
	_, err := entry.session.Ping()
	return err == nil
}

func (p *Pool) removeEntry(address netip.AddrPort, entry *poolEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[address] == entry {
		delete(p.entries, address)
	}
}

// Close closes all sessions and makes later calls of Open fail.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, entry := range p.entries {
		if entry.session != nil {
			_ = entry.session.Close()
		}
	}
	return nil
}

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

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"

	"sapphirespread.example/internal/peer/peerpb"
)

const defaultDialTimeout = 2 * time.Second

// A Pool keeps one session to each address and opens streams on it.
type Pool struct {
	self        Identity
	tls         *tls.Config
	dialTimeout time.Duration
	logger      zerolog.Logger
	mu          sync.Mutex
	entries     map[netip.AddrPort]*poolEntry
	closed      bool
}

// poolEntry is the session to one address, or the dial that will make it.
type poolEntry struct {
	ready   chan struct{}
	session *yamux.Session
	err     error
}

// A PoolOption changes how a Pool dials.
type PoolOption func(*Pool)

// WithPoolTLS makes the pool dial with TLS by config.
func WithPoolTLS(config *tls.Config) PoolOption {
	return func(p *Pool) { p.tls = config }
}

// WithDialTimeout bounds one dial with its introduction.
func WithDialTimeout(timeout time.Duration) PoolOption {
	return func(p *Pool) { p.dialTimeout = timeout }
}

// WithPoolLogger sets where new and failed sessions are logged.
func WithPoolLogger(logger zerolog.Logger) PoolOption {
	return func(p *Pool) { p.logger = logger }
}

// NewPool returns a pool that introduces itself as self.
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

// Open opens a stream of kind to address, over the session that is kept or a new one.
// Where it fails, the peer has been sent no message of the exchange.
func (p *Pool) Open(ctx context.Context, address netip.AddrPort, kind string) (*Stream, error) {
	const attempts = 2
	var err error
	for range attempts {
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
	entry, err := p.entry(address)
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
	inner, err := entry.session.OpenStream()
	if err != nil {
		p.drop(address, entry)
		return nil, errors.Join(errSessionLost, err)
	}
	stream := newStream(inner)
	if err := stream.Send(&peerpb.StreamHeader{Kind: kind}); err != nil {
		_ = stream.Close()
		p.drop(address, entry)
		return nil, errors.Join(errSessionLost, err)
	}
	return stream, nil
}

func (p *Pool) entry(address netip.AddrPort) (*poolEntry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, net.ErrClosed
	}
	entry, known := p.entries[address]
	if known && !entry.lost() {
		return entry, nil
	}
	entry = &poolEntry{ready: make(chan struct{})}
	p.entries[address] = entry
	go p.dial(address, entry)
	return entry, nil
}

// lost reports whether the entry's dial failed or its session ended.
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
		p.drop(address, entry)
		p.logger.Debug().Err(err).Stringer("address", address).Msg("peer: dial failed")
		return
	}
	p.logger.Debug().Str("process", peer.Process).Stringer("address", address).Msg("peer: session open")
}

func (p *Pool) dialSession(address netip.AddrPort) (*yamux.Session, Identity, error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, Identity{}, err
	}
	if p.tls != nil {
		secured := tls.Client(conn, p.tls)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, Identity{}, err
		}
		conn = secured
	}
	return dialSession(conn, p.self)
}

// Alive asks the peer at address over the session that is kept, and reports whether it answered in time.
func (p *Pool) Alive(address netip.AddrPort) bool {
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

func (p *Pool) drop(address netip.AddrPort, entry *poolEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[address] == entry {
		delete(p.entries, address)
	}
}

// Close ends all sessions.
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

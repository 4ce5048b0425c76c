package daemon

import (
	"context"
	"net/netip"
	"sync"

	"sapphirespread.example/internal/peer"
)

const (
	kindCall              = "call"
	maxIdleStreamsPerPeer = 64
)

// streamPool keeps idle streams to other daemons for reuse after their call has ended cleanly.
type streamPool struct {
	sessions *peer.Pool
	mu       sync.Mutex
	idle     map[netip.AddrPort][]*peer.Stream
}

func newStreamPool(sessions *peer.Pool) *streamPool {
	return &streamPool{sessions: sessions, idle: make(map[netip.AddrPort][]*peer.Stream)}
}

// get returns a usable idle stream to address or opens a new one.
func (p *streamPool) get(ctx context.Context, address netip.AddrPort) (*peer.Stream, error) {
	for {
		stream := p.pop(address)
		if stream == nil {
			return p.sessions.Open(ctx, address, kindCall)
		}
		if stream.SessionOpen() {
			return stream, nil
		}
		stream.Abort()
	}
}

func (p *streamPool) pop(address netip.AddrPort) *peer.Stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		delete(p.idle, address)
		return nil
	}
	last := len(idle) - 1
	stream := idle[last]
	p.idle[address] = idle[:last]
	return stream
}

// put returns a stream whose call has ended cleanly, or aborts it if the pool for address is full.
func (p *streamPool) put(address netip.AddrPort, stream *peer.Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) >= maxIdleStreamsPerPeer {
		stream.Abort()
		return
	}
	p.idle[address] = append(idle, stream)
}

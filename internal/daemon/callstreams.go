package daemon

import (
	"context"
	"net/netip"
	"sync"

	"sapphirespread.example/internal/peer"
)

const (
	kindCall            = "call"
	maxIdleStreamsAPeer = 64
)

// A callStreams keeps streams to other daemons on which a call has ended cleanly, for the next calls.
type callStreams struct {
	pool *peer.Pool
	mu   sync.Mutex
	idle map[netip.AddrPort][]*peer.Stream
}

func newCallStreams(pool *peer.Pool) *callStreams {
	return &callStreams{pool: pool, idle: make(map[netip.AddrPort][]*peer.Stream)}
}

// get returns an idle stream to address, or a new one.
func (c *callStreams) get(ctx context.Context, address netip.AddrPort) (*peer.Stream, error) {
	for {
		stream := c.pop(address)
		if stream == nil {
			return c.pool.Open(ctx, address, kindCall)
		}
		if stream.Usable() {
			return stream, nil
		}
		stream.Abort()
	}
}

func (c *callStreams) pop(address netip.AddrPort) *peer.Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	if len(idle) == 0 {
		delete(c.idle, address)
		return nil
	}
	last := len(idle) - 1
	stream := idle[last]
	c.idle[address] = idle[:last]
	return stream
}

// put keeps a stream whose call has ended cleanly.
func (c *callStreams) put(address netip.AddrPort, stream *peer.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	if len(idle) >= maxIdleStreamsAPeer {
		stream.Abort()
		return
	}
	c.idle[address] = append(idle, stream)
}

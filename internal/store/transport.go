package store

import (
	"context"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/internal/peer"
)

const streamKind = "replica"

// A Stream carries messages in one direction, from the instance that opened it.
type Stream interface {
	Send(proto.Message) error
	Receive(proto.Message) error
	Close() error
}

// A Transport opens streams to other instances and accepts streams from them.
type Transport interface {
	Open(ctx context.Context, address netip.AddrPort) (Stream, error)
	Accept(handler func(ctx context.Context, stream Stream))
}

// peerTransport is the Transport over peer sessions.
type peerTransport struct {
	pool   *peer.Pool
	server *peer.Server
}

func (t peerTransport) Open(ctx context.Context, address netip.AddrPort) (Stream, error) {
	return t.pool.Open(ctx, address, streamKind)
}

func (t peerTransport) Accept(handler func(ctx context.Context, stream Stream)) {
	t.server.Handle(streamKind, func(ctx context.Context, _ peer.Identity, stream *peer.Stream) {
		handler(ctx, stream)
	})
}

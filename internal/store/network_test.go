package store_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/internal/store"
)

var errCut = errors.New("link cut")

// network connects stores in one process; links can be cut one way.
type network struct {
	mu       sync.Mutex
	handlers map[netip.AddrPort]func(context.Context, store.Stream)
	cut      map[[2]netip.AddrPort]bool
}

func newNetwork() *network {
	return &network{
		handlers: map[netip.AddrPort]func(context.Context, store.Stream){},
		cut:      map[[2]netip.AddrPort]bool{},
	}
}

func (n *network) setCut(from, to netip.AddrPort, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]netip.AddrPort{from, to}] = cut
}

func (n *network) isCut(from, to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]netip.AddrPort{from, to}]
}

// port is the transport of one store.
type port struct {
	network *network
	address netip.AddrPort
}

func (p port) Accept(handler func(context.Context, store.Stream)) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.handlers[p.address] = handler
}

func (p port) Open(_ context.Context, to netip.AddrPort) (store.Stream, error) {
	p.network.mu.Lock()
	handler := p.network.handlers[to]
	p.network.mu.Unlock()
	if handler == nil {
		return nil, errCut
	}
	w := &wire{port: p, to: to, messages: make(chan proto.Message, 64), closed: make(chan struct{})}
	go func() {
		defer w.Close()
		handler(context.Background(), w)
	}()
	return w, nil
}

// wire is one stream; a cut link loses what is sent without an error.
type wire struct {
	port     port
	to       netip.AddrPort
	messages chan proto.Message
	once     sync.Once
	closed   chan struct{}
}

func (w *wire) Send(m proto.Message) error {
	if w.port.network.isCut(w.port.address, w.to) {
		return nil
	}
	select {
	case w.messages <- proto.Clone(m):
		return nil
	case <-w.closed:
		return errCut
	}
}

func (w *wire) Receive(m proto.Message) error {
	select {
	case sent := <-w.messages:
		proto.Merge(m, sent)
		return nil
	case <-w.closed:
		return errCut
	}
}

func (w *wire) Close() error {
	w.once.Do(func() { close(w.closed) })
	return nil
}

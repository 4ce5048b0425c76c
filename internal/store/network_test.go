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

// network connects stores in one process. Each direction of a connection can be cut separately.
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

// testTransport is the transport of one store.
type testTransport struct {
	network *network
	address netip.AddrPort
}

func (p testTransport) Accept(handler func(context.Context, store.Stream)) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.handlers[p.address] = handler
}

func (p testTransport) Open(_ context.Context, to netip.AddrPort) (store.Stream, error) {
	p.network.mu.Lock()
	handler := p.network.handlers[to]
	p.network.mu.Unlock()
	if handler == nil {
		return nil, errCut
	}
	s := &testStream{transport: p, to: to, messages: make(chan proto.Message, 64), closed: make(chan struct{})}
	go func() {
		defer s.Close()
		handler(context.Background(), s)
	}()
	return s, nil
}

// testStream is a stream of a testTransport. While its direction is cut, sent messages are lost without an error.
type testStream struct {
	transport testTransport
	to        netip.AddrPort
	messages  chan proto.Message
	closeOnce sync.Once
	closed    chan struct{}
}

func (s *testStream) Send(m proto.Message) error {
	if s.transport.network.isCut(s.transport.address, s.to) {
		return nil
	}
	// A select between a closed stream and room in its buffer chooses at random, which would lose messages without an error
	// long after the other side has ended.
	select {
	case <-s.closed:
		return errCut
	default:
	}
	select {
	case s.messages <- proto.Clone(m):
		return nil
	case <-s.closed:
		return errCut
	}
}

func (s *testStream) Receive(m proto.Message) error {
	select {
	case sent := <-s.messages:
		proto.Merge(m, sent)
		return nil
	case <-s.closed:
		return errCut
	}
}

func (s *testStream) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return nil
}

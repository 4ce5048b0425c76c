package store

import (
	"context"
	"net/netip"
	"sync"

	"sapphirespread.example/replica"
	"sapphirespread.example/replica/replicapb"
)

// links keeps one link an address and passes on what arrives.
type links struct {
	transport Transport
	inbox     chan replica.Message
	byAddress map[netip.AddrPort]*link
	running   sync.WaitGroup
}

func newLinks(transport Transport) *links {
	return &links{
		transport: transport,
		inbox:     make(chan replica.Message, queueLength),
		byAddress: map[netip.AddrPort]*link{},
	}
}

// accept passes messages of all streams to the inbox until ctx ends.
func (l *links) accept(ctx context.Context) {
	l.transport.Accept(func(streamCtx context.Context, stream Stream) {
		release := context.AfterFunc(ctx, func() { _ = stream.Close() })
		defer release()
		for ctx.Err() == nil && streamCtx.Err() == nil {
			var encoded replicapb.Message
			if err := stream.Receive(&encoded); err != nil {
				return
			}
			m, err := replica.DecodeMessage(&encoded)
			if err != nil {
				return
			}
			select {
			case l.inbox <- m:
			case <-ctx.Done():
				return
			}
		}
	})
}

func (l *links) send(ctx context.Context, outbound []replica.Outbound) {
	for _, out := range outbound {
		one, ok := l.byAddress[out.Address]
		if !ok {
			one = newLink(l.transport, out.Address)
			l.byAddress[out.Address] = one
			l.running.Go(func() { one.run(ctx) })
		}
		one.send(out.Message)
	}
}

func (l *links) wait() {
	l.running.Wait()
}

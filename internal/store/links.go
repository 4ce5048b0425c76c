package store

import (
	"context"
	"net/netip"
	"sync"

	"sapphirespread.example/replica"
	"sapphirespread.example/replica/replicapb"
)

// links holds one outbound link per address and collects the received messages in an inbox.
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

// accept passes the messages of all inbound streams to the inbox until ctx is canceled.
func (l *links) accept(ctx context.Context) {
	l.transport.Accept(func(streamCtx context.Context, stream Stream) {
		stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
		defer stop()
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
		outboundLink, ok := l.byAddress[out.Address]
		if !ok {
			outboundLink = newLink(l.transport, out.Address)
			l.byAddress[out.Address] = outboundLink
			l.running.Go(func() { outboundLink.run(ctx) })
		}
		outboundLink.send(out.Message)
	}
}

func (l *links) wait() {
	l.running.Wait()
}

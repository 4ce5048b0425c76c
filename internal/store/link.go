package store

import (
	"context"
	"net/netip"
	"time"

	"sapphirespread.example/replica"
)

const (
	linkQueueLength = 512
	linkRetryDelay  = 50 * time.Millisecond
	linkOpenTimeout = 2 * time.Second
)

// A link sends messages to one address in order. It drops messages that it cannot queue or send.
type link struct {
	transport Transport
	address   netip.AddrPort
	queue     chan replica.Message
}

func newLink(transport Transport, address netip.AddrPort) *link {
	return &link{transport: transport, address: address, queue: make(chan replica.Message, linkQueueLength)}
}

// send queues the message, or drops it if the queue is full.
func (l *link) send(m replica.Message) {
	select {
	case l.queue <- m:
	default:
	}
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.sendUntilError(ctx)
		l.discardQueue()
		sleep(ctx, linkRetryDelay)
	}
}

func (l *link) discardQueue() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

func (l *link) sendUntilError(ctx context.Context) {
	openCtx, cancel := context.WithTimeout(ctx, linkOpenTimeout)
	defer cancel()
	stream, err := l.transport.Open(openCtx, l.address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer stream.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.queue:
			if err := stream.Send(replica.EncodeMessage(m)); err != nil {
				return
			}
		}
	}
}

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

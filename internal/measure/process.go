package measure

import (
	"context"
	"net"
	"net/netip"

	"github.com/joomcode/errorx"

	"sapphirespread.example/internal/standin"
)

// A process is a control instance or daemon that runs in a goroutine of this process.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

func startProcess(ctx context.Context, run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = run(ctx)
	}()
	return p
}

// stop stops the process gracefully and returns its error once it has ended.
func (p *process) stop() error {
	p.cancel()
	<-p.done
	return p.err
}

// listen opens a TCP listener at address, or at a free loopback port if address is not valid, and returns its address.
func listen(address netip.AddrPort) (*standin.Listener, netip.AddrPort, error) {
	if !address.IsValid() {
		address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	}
	inner, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, address, errorx.Decorate(err, "listen at %s", address)
	}
	return standin.NewListener(inner), inner.Addr().(*net.TCPAddr).AddrPort(), nil
}

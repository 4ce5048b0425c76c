package measure

import (
	"context"
	"net"
	"net/netip"

	"github.com/joomcode/errorx"

	"sapphirespread.example/internal/standin"
)

// A process is one control instance or daemon run in this process.
type process struct {
	cancel context.CancelFunc
	ended  chan struct{}
	err    error
}

func startProcess(ctx context.Context, run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		p.err = run(ctx)
	}()
	return p
}

// stop asks the process to stop gracefully and waits until it has.
func (p *process) stop() error {
	p.cancel()
	<-p.ended
	return p.err
}

// listen opens a listener on loopback, at a free port where address is not valid.
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

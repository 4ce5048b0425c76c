package measure

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/internal/daemon"
	"sapphirespread.example/internal/settings"
	"sapphirespread.example/internal/standin"
	"sapphirespread.example/internal/trace"
	"sapphirespread.example/timeline"
)

const (
	freshness         = 3 * time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	bodyStallTimeout  = 10 * time.Second
	dialTimeout       = time.Second
	drainTimeout      = 10 * time.Second
	listenersEach     = 4
)

// An instance is one daemon, which can be lost at once and brought back at the same addresses.
type instance struct {
	name, failureDomain string
	control             []netip.AddrPort
	logger              zerolog.Logger
	recorder            *trace.Recorder // of the first daemon
	mu                  sync.Mutex
	addresses           [listenersEach]netip.AddrPort
	listeners           [listenersEach]*standin.Listener
	daemon              *daemon.Daemon
	process             *process
	past                []timeline.Event
}

// open opens the listeners, at the same addresses as before if there were any.
func (i *instance) open() error {
	for j := range i.listeners {
		listener, address, err := listen(i.addresses[j])
		if err != nil {
			return err
		}
		i.listeners[j], i.addresses[j] = listener, address
	}
	return nil
}

func (i *instance) callers() netip.AddrPort  { return i.addresses[0] }
func (i *instance) subcalls() netip.AddrPort { return i.addresses[2] }

// start runs a new daemon on the open listeners.
func (i *instance) start(ctx context.Context) {
	i.mu.Lock()
	defer i.mu.Unlock()
	s := settings.Daemon{
		Name: i.name, Cluster: clusterName, FailureDomain: i.failureDomain, Control: i.control, Freshness: freshness,
		PeerAdvertise: i.addresses[1],
		Timeouts: settings.Timeouts{
			ReadHeader: readHeaderTimeout, Idle: idleTimeout, BodyStall: bodyStallTimeout, Dial: dialTimeout, Drain: drainTimeout,
		},
	}
	i.daemon = daemon.New(s, daemon.WithLogger(i.logger), daemon.WithRecorder(i.recorder), daemon.WithListeners(daemon.Listeners{
		Callers: i.listeners[0], Peers: i.listeners[1], Subcalls: i.listeners[2], Operators: i.listeners[3],
	}))
	i.process = startProcess(ctx, i.daemon.Run)
}

// lose resets all connections to the daemon and stops it.
func (i *instance) lose() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process.cancel()
	for _, listener := range i.listeners {
		listener.Reset()
	}
	<-i.process.ended
	i.past = append(i.past, i.daemon.Events()...)
	i.recorder = nil
}

func (i *instance) ready(ctx context.Context) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.daemon.Ready(ctx) == nil
}

func (i *instance) stop() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process.stop()
}

func (i *instance) events() []timeline.Event {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append(append([]timeline.Event{}, i.past...), i.daemon.Events()...)
}

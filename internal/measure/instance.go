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
	freshness            = 3 * time.Second
	readHeaderTimeout    = 5 * time.Second
	idleTimeout          = time.Minute
	bodyStallTimeout     = 10 * time.Second
	dialTimeout          = time.Second
	drainTimeout         = 10 * time.Second
	listenersPerInstance = 4
)

// An instance runs one daemon, which can crash and restart at the same addresses.
type instance struct {
	name, failureDomain string
	control             []netip.AddrPort
	logger              zerolog.Logger
	recorder            *trace.Recorder // nil after the first crash
	mu                  sync.Mutex
	addresses           [listenersPerInstance]netip.AddrPort
	listeners           [listenersPerInstance]*standin.Listener
	daemon              *daemon.Daemon
	process             *process
	earlierEvents       []timeline.Event
}

// open opens the listeners, after a crash at the same addresses as before.
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

func (i *instance) callerAddress() netip.AddrPort     { return i.addresses[0] }
func (i *instance) nestedCallAddress() netip.AddrPort { return i.addresses[2] }

// start starts a new daemon on the open listeners.
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

// crash stops the daemon and resets all connections to it.
func (i *instance) crash() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process.cancel()
	for _, listener := range i.listeners {
		listener.Reset()
	}
	<-i.process.done
	i.earlierEvents = append(i.earlierEvents, i.daemon.Events()...)
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

// events returns the time-line events of the current daemon and of those before it.
func (i *instance) events() []timeline.Event {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append(append([]timeline.Event{}, i.earlierEvents...), i.daemon.Events()...)
}

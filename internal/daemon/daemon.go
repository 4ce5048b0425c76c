package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/daemon/dialect"
	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/settings"
	"sapphirespread.example/internal/trace"
	"sapphirespread.example/retry"
	"sapphirespread.example/timeline"
)

const (
	timelineSize   = 4096
	maxHeaderBytes = 64 << 10
	drainNotice    = 500 * time.Millisecond
	// targetNotice is the part of the notice to callers in which other daemons are told that the target leaves: drainNotice
	// and a usual run.
	targetNotice = time.Second
	// linkEndBound is above farewellTimeout, and leaves time to close sockets before a process is killed.
	linkEndBound = 400 * time.Millisecond
)

// A Daemon is the process beside one backend server.
type Daemon struct {
	settings    settings.Daemon
	dialect     dialect.Dialect
	extra       []extraServer
	logger      zerolog.Logger
	requests    *zerolog.Logger // for what touches one request
	tls         *tls.Config
	listeners   Listeners
	incarnation uint64
	clock       *timeline.Clock
	ring        *timeline.Ring
	view        *configuration.View
	recorder    *trace.Recorder
	table       table
	chooser     chooser
	holder      holder
	tokenWait   *rateLimiter
	admitter    *admitter
	deeper      *downstreamLevels
	throttle    *entryThrottle
	budgets     *budgets
	resends     *retry.ResendTracker
	watch       fingerprintTracker
	quarantine  quarantineList
	crashes     crashReports
	tokens      *callTokens
	running     *runningCalls
	backend     *backend
	pool        *peer.Pool
	streams     *callStreams
	peers       *peer.Server
	link        *link
	liveness    *liveness
	counters    *counters
	inFlight    *inFlight
	latencies   *latencies
	callIDs     atomic.Uint64
	stopping    atomic.Bool
	leaving     atomic.Bool // the target takes no more work than what is on its way
	refusing    atomic.Bool
	turning     atomic.Bool
}

// New returns a daemon of s that serves nothing until Run.
func New(s settings.Daemon, options ...Option) *Daemon {
	d := &Daemon{
		settings:    s,
		dialect:     ownDialect{},
		logger:      zerolog.Nop(),
		incarnation: uint64(time.Now().UnixNano()),
		clock:       timeline.NewClock(),
		view:        configuration.NewView(configuration.WithFreshness(s.Freshness)),
		resends:     retry.NewResendTracker(),
		tokens:      newCallTokens(),
		running:     newRunningCalls(),
		counters:    newCounters(),
		inFlight:    newInFlight(),
		latencies:   newLatencies(),
	}
	for _, option := range options {
		option(d)
	}
	d.ring = timeline.NewRing(d.clock, s.Name, timelineSize)
	d.backend = newBackend(d.incarnation, s.Timeouts.Announcement)
	d.budgets = newBudgets(d.recorder)
	d.initDecisions()
	d.deeper = newDownstreamLevels(d.chooser)
	d.throttle = newEntryThrottle(d.logger)
	d.link = newLink(d)
	d.tokenWait = newRateLimiter(d.holder, d.link.kick)
	d.liveness = newLiveness(d.alive, d.chooser.RecordHeartbeat)
	d.publishGauges()
	return d
}

// Run serves until ctx ends, then stops gracefully: new work is refused as not run, and what is in
// flight is finished.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.listen(); err != nil {
		return err
	}
	servers, err := d.servers()
	if err != nil {
		return err
	}
	d.openPeers()
	defer d.admitter.close()
	linkCtx, stopLink := context.WithCancel(context.Background())
	defer stopLink()
	group, groupCtx := errgroup.WithContext(ctx)
	for _, server := range servers {
		group.Go(func() error { return server.serve() })
	}
	group.Go(func() error { return d.peers.Serve(d.listeners.Peers) })
	group.Go(func() error {
		d.liveness.run(groupCtx)
		return nil
	})
	linkEnded := make(chan struct{})
	go func() {
		defer close(linkEnded)
		d.link.run(linkCtx)
	}()
	group.Go(func() error {
		<-groupCtx.Done()
		d.stop(servers, stopLink, linkEnded)
		return nil
	})
	d.record("daemon", "started")
	d.logger.Info().Stringer("callers", d.listeners.Callers.Addr()).Stringer("peers", d.listeners.Peers.Addr()).Msg("daemon: serving")
	return group.Wait()
}

func (d *Daemon) listen() error {
	wanted := []struct {
		listener *net.Listener
		address  netip.AddrPort
		name     string
	}{
		{&d.listeners.Callers, d.settings.CallersListen, "callers"},
		{&d.listeners.Peers, d.settings.PeerListen, "peers"},
		{&d.listeners.Subcalls, d.settings.SubcallsListen, "sub-calls"},
		{&d.listeners.Operators, d.settings.OperatorsListen, "operators"},
	}
	for _, w := range wanted {
		if *w.listener != nil || !w.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", w.address.String())
		if err != nil {
			return fmt.Errorf("listening for %s on %s: %w", w.name, w.address, err)
		}
		*w.listener = listener
	}
	return nil
}

func (d *Daemon) openPeers() {
	self := peer.Identity{Cluster: d.settings.Cluster, Process: d.settings.Name, Incarnation: d.incarnation}
	d.pool = peer.NewPool(self, peer.WithPoolLogger(d.logger), peer.WithPoolTLS(d.tls), peer.WithDialTimeout(d.settings.Timeouts.Dial))
	d.streams = newCallStreams(d.pool)
	d.peers = peer.NewServer(self, peer.WithServerLogger(d.logger), peer.WithServerTLS(d.tls))
	d.peers.Handle(kindCall, d.serveCalls)
}

func (d *Daemon) servers() ([]*httpServer, error) {
	operators, err := d.operatorsHandler()
	if err != nil {
		return nil, fmt.Errorf("serving operators: %w", err)
	}
	subcalls := http.NewServeMux()
	subcalls.HandleFunc("PUT "+announcePath, d.serveAnnounce)
	subcalls.HandleFunc("DELETE "+announcePath+"/{name}", d.serveLeave)
	subcalls.HandleFunc("/", d.serveNestedCall)
	servers := []*httpServer{
		newHTTPServer(d.listeners.Callers, http.HandlerFunc(d.serveCaller), d.settings.Timeouts),
		newHTTPServer(d.listeners.Operators, operators, d.settings.Timeouts),
	}
	if d.listeners.Subcalls != nil {
		servers = append(servers, newHTTPServer(d.listeners.Subcalls, subcalls, d.settings.Timeouts))
	}
	for _, extra := range d.extra {
		listener, err := net.Listen("tcp", extra.address.String())
		if err != nil {
			return nil, fmt.Errorf("listening on %s: %w", extra.address, err)
		}
		servers = append(servers, newHTTPServer(listener, extra.handler(d), d.settings.Timeouts))
	}
	return servers, nil
}

// stop lets the target serve for as long as the notice to callers allows, refuses other daemons and callers once they could
// have heard, waits for what is in flight, returns unspent tokens and closes all sockets.
func (d *Daemon) stop(servers []*httpServer, stopLink func(), linkEnded <-chan struct{}) {
	d.record("daemon", "stopping")
	d.logger.Info().Msg("daemon: stopping")
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Timeouts.Drain)
	defer cancel()
	notice := min(d.settings.Timeouts.CallersNotice, targetNotice)
	sleep(ctx, d.settings.Timeouts.CallersNotice-notice)
	d.leaving.Store(true)
	d.link.kickHeartbeat()
	time.Sleep(drainNotice)
	d.refusing.Store(true)
	sleep(ctx, notice-drainNotice)
	d.turning.Store(true)
	if err := d.inFlight.wait(ctx); err != nil {
		d.logger.Warn().Int("requests", d.inFlight.current()).Msg("daemon: requests cut after the drain timeout")
	}
	stopLink()
	select {
	case <-linkEnded:
	case <-time.After(linkEndBound):
		d.logger.Warn().Msg("daemon: session with control not ended in time")
	}
	for _, server := range servers {
		server.stop(ctx)
	}
	_ = d.peers.Close()
	_ = d.pool.Close()
	d.backend.connections.CloseIdle()
	d.logger.Info().Msg("daemon: stopped")
}

// SetControl replaces the control instances that the settings name; a session that is up stays.
func (d *Daemon) SetControl(addresses []netip.AddrPort) {
	if len(addresses) > 0 {
		d.link.reconfigure(addresses)
	}
}

// CallersAddress returns where callers are served.
func (d *Daemon) CallersAddress() netip.AddrPort {
	return addressOf(d.listeners.Callers)
}

// SubcallsAddress returns where the backend server announces itself and makes sub-calls.
func (d *Daemon) SubcallsAddress() netip.AddrPort {
	return addressOf(d.listeners.Subcalls)
}

func addressOf(listener net.Listener) netip.AddrPort {
	address, _ := netip.ParseAddrPort(listener.Addr().String())
	return address
}

func (d *Daemon) peerAddress() netip.AddrPort {
	if d.settings.PeerAdvertise.IsValid() {
		return d.settings.PeerAdvertise
	}
	return addressOf(d.listeners.Peers)
}

// OperatorsAddress returns where operators are served.
func (d *Daemon) OperatorsAddress() netip.AddrPort {
	return addressOf(d.listeners.Operators)
}

// Events returns the daemon's part of the time line.
func (d *Daemon) Events() []timeline.Event {
	return d.ring.Events()
}

func (d *Daemon) record(part, text string) {
	d.ring.Record(time.Now(), part, text)
}

func (d *Daemon) snapshot() configuration.Snapshot {
	snapshot, _ := d.view.Current(boottime.Now())
	return snapshot
}

func (d *Daemon) budget(service string) retryBudget {
	return d.budgets.get(service)
}

// alive reports whether the daemon at address answers; this one does.
func (d *Daemon) alive(address netip.AddrPort) bool {
	return address == d.peerAddress() || d.pool.Alive(address)
}

// isOwn reports whether the target is the backend server beside this daemon.
func (d *Daemon) isOwn(t target.Target) bool {
	return t.Daemon == d.settings.Name
}

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
	"sapphirespread.example/internal/backend/load"
	"sapphirespread.example/internal/caller/pipeline"
	"sapphirespread.example/internal/daemon/dialect"
	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/host/budget"
	"sapphirespread.example/internal/host/framing"
	"sapphirespread.example/internal/membership/evacuation"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/settings"
	"sapphirespread.example/internal/trace"
	"sapphirespread.example/priority"
	"sapphirespread.example/retry"
	"sapphirespread.example/timeline"
)

const (
	timelineSize         = 4096 // events
	maxHeaderBytes       = 64 << 10
	drainPropagationTime = 500 * time.Millisecond
	// targetDrainTime is the last part of the callers' notice period, during which the target is announced as draining.
	// It covers drainPropagationTime and the duration of a usual run.
	targetDrainTime = time.Second
	// linkCloseTimeout exceeds gracefulCloseTimeout and leaves time to close sockets before the process is killed.
	linkCloseTimeout = 400 * time.Millisecond
	// finalAnswerTimeout is enough to write the refusals of all requests in flight.
	finalAnswerTimeout = 200 * time.Millisecond
)

// Daemon is the sidecar of one backend server.
type Daemon struct {
	settings         settings.Daemon
	dialect          dialect.Dialect
	extraServers     []extraServer
	logger           zerolog.Logger
	perRequestLogger *zerolog.Logger // for events that concern a single request; nil uses logger
	tls              *tls.Config
	listeners        Listeners
	incarnation      uint64
	clock            *timeline.Clock
	ring             *timeline.Ring
	view             *configuration.View
	recorder         *trace.Recorder
	table            table
	chooser          chooser
	domains          *evacuation.View
	domainGuard      *evacuation.Guard
	holder           holder
	rateLimiter      *rateLimiter
	admitter         *admitter
	ownAdmission     *priority.Admission // guarded by the admitter
	pace             *paceGate
	downstream       *downstreamLevels
	throttle         *entryThrottle
	scarce           *scarceServices
	budgets          *budgets
	resendTracker    *retry.ResendTracker
	inFlightRuns     fingerprintTracker
	quarantine       quarantineList
	crashes          crashReports
	callTokens       *callTokens
	runningCalls     *runningCalls
	backend          *backend
	loadMeter        *load.Meter
	pool             *peer.Pool
	streams          *streamPool
	peers            *peer.Server
	link             *link
	liveness         *livenessProber
	counters         *counters
	inFlight         *inFlight
	latencies        *latencies
	returnTimes      *returnTimes
	callIDs          atomic.Uint64
	stopping         atomic.Bool
	targetDraining   atomic.Bool // announces the target as draining; calls already on their way are still served
	refusingPeers    atomic.Bool
	refusingCallers  atomic.Bool
	stopTime         *stopTime
	// drainEnded ends when the time of a stop for requests in flight is over. Those that are left are refused then.
	drainEnded context.Context
	endDrain   context.CancelFunc
}

// New returns a daemon configured by s, which serves nothing until Run is called.
func New(s settings.Daemon, options ...Option) *Daemon {
	d := &Daemon{
		settings:      s,
		dialect:       ownDialect{},
		logger:        zerolog.Nop(),
		incarnation:   uint64(time.Now().UnixNano()),
		clock:         timeline.NewClock(),
		view:          configuration.NewView(configuration.WithFreshness(s.Freshness)),
		resendTracker: retry.NewResendTracker(),
		callTokens:    newCallTokens(),
		runningCalls:  newRunningCalls(),
		counters:      newCounters(),
		loadMeter:     load.NewMeter(),
		inFlight:      newInFlight(),
		latencies:     newLatencies(),
		returnTimes:   newReturnTimes(),
		stopTime:      newStopTime(),
	}
	d.drainEnded, d.endDrain = context.WithCancel(context.Background())
	for _, option := range options {
		option(d)
	}
	d.ring = timeline.NewRing(d.clock, s.Name, timelineSize)
	d.backend = newBackend(d.incarnation, s.Timeouts.Announcement)
	d.budgets = newBudgets(d.recorder)
	d.scarce = newScarceServices(d.logger, s.ScarceServices)
	d.initDecisions()
	d.domains = evacuation.NewView(d.takeDomains)
	d.domainGuard = evacuation.NewGuard(s.FailureDomain)
	d.downstream = newDownstreamLevels(d.chooser)
	d.throttle = newEntryThrottle(d.logger)
	d.link = newLink(d)
	d.rateLimiter = newRateLimiter(d.holder, d.link.wake)
	d.liveness = newLivenessProber(d.alive, d.chooser.RecordHeartbeat)
	d.publishGauges()
	return d
}

// Run serves until ctx ends and then shuts down gracefully: it refuses new requests as not run and completes requests
// in flight.
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
	linkClosed := make(chan struct{})
	go func() {
		defer close(linkClosed)
		d.link.run(linkCtx)
	}()
	group.Go(func() error {
		<-groupCtx.Done()
		d.stop(servers, stopLink, linkClosed)
		return nil
	})
	d.record("daemon", "started")
	d.logger.Info().Stringer("callers", d.listeners.Callers.Addr()).Stringer("peers", d.listeners.Peers.Addr()).Msg("daemon: serving")
	return group.Wait()
}

func (d *Daemon) listen() error {
	endpoints := []struct {
		listener *net.Listener
		address  netip.AddrPort
		name     string
	}{
		{&d.listeners.Callers, d.settings.CallersListen, "callers"},
		{&d.listeners.Peers, d.settings.PeerListen, "peers"},
		{&d.listeners.Subcalls, d.settings.SubcallsListen, "sub-calls"},
		{&d.listeners.Operators, d.settings.OperatorsListen, "operators"},
	}
	for _, endpoint := range endpoints {
		if *endpoint.listener != nil || !endpoint.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", endpoint.address.String())
		if err != nil {
			return fmt.Errorf("listening for %s on %s: %w", endpoint.name, endpoint.address, err)
		}
		*endpoint.listener = listener
	}
	return nil
}

func (d *Daemon) openPeers() {
	self := peer.Identity{Cluster: d.settings.Cluster, Process: d.settings.Name, Incarnation: d.incarnation}
	d.pool = peer.NewPool(self, peer.WithPoolLogger(d.logger), peer.WithPoolTLS(d.tls), peer.WithDialTimeout(d.settings.Timeouts.Dial))
	d.streams = newStreamPool(d.pool)
	d.peers = peer.NewServer(self, peer.WithServerLogger(d.logger), peer.WithServerTLS(d.tls))
	d.peers.Handle(kindCall, d.serveCalls)
}

func (d *Daemon) servers() ([]server, error) {
	operators, err := d.operatorsHandler()
	if err != nil {
		return nil, fmt.Errorf("serving operators: %w", err)
	}
	subcalls := http.NewServeMux()
	subcalls.HandleFunc("PUT "+announcePath, d.serveAnnounce)
	subcalls.HandleFunc("DELETE "+announcePath+"/{name}", d.serveLeave)
	subcalls.HandleFunc("/", d.serveNestedCall)
	callers := budget.New(d.settings.Resources.Plan().Callers)
	servers := []server{
		d.newServer("callers", d.listeners.Callers, callers, http.HandlerFunc(d.serveCaller), pipeline.WithConcurrency(d.mayRunConcurrently)),
		d.newPortServer("operators", d.listeners.Operators, operators),
	}
	if d.listeners.Subcalls != nil {
		servers = append(servers, d.newServer("sub-calls", d.listeners.Subcalls, callers, framing.Guard(subcalls)))
	}
	for _, extra := range d.extraServers {
		listener, err := net.Listen("tcp", extra.address.String())
		if err != nil {
			return nil, fmt.Errorf("listening on %s: %w", extra.address, err)
		}
		servers = append(servers, d.newPortServer(extra.name, listener, extra.handler(d)))
	}
	return servers, nil
}

// stop shuts the daemon down gracefully. It serves on during the callers' notice period, announces the target as
// draining near its end, refuses first other daemons and then callers, waits for requests in flight up to the drain
// timeout, returns unspent tokens and closes all sockets. Calls that would outlast the drain timeout are not begun.
func (d *Daemon) stop(servers []server, stopLink func(), linkClosed <-chan struct{}) {
	d.record("daemon", "stopping")
	d.logger.Info().Msg("daemon: stopping")
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Timeouts.Drain)
	defer cancel()
	d.stopTime.begin(time.Now().Add(d.settings.Timeouts.Drain))
	d.stopping.Store(true)
	drainTime := min(d.settings.Timeouts.CallersNotice, targetDrainTime)
	sleep(ctx, d.settings.Timeouts.CallersNotice-drainTime)
	d.targetDraining.Store(true)
	d.link.requestHeartbeat()
	time.Sleep(drainPropagationTime)
	d.refusingPeers.Store(true)
	sleep(ctx, drainTime-drainPropagationTime)
	d.refusingCallers.Store(true)
	if err := d.inFlight.wait(ctx); err != nil {
		d.logger.Warn().Int("requests", d.inFlight.current()).Msg("daemon: drain timeout reached with requests in flight")
		d.refuseInFlight()
	}
	stopLink()
	select {
	case <-linkClosed:
	case <-time.After(linkCloseTimeout):
		d.logger.Warn().Msg("daemon: control session did not close in time")
	}
	// After the drain timeout, the last answers still have to be written.
	closeCtx, cancelClose := context.WithTimeout(context.Background(), max(finalAnswerTimeout, remainingTime(ctx)))
	defer cancelClose()
	for _, server := range servers {
		server.stop(closeCtx)
	}
	_ = d.peers.Close()
	_ = d.pool.Close()
	d.backend.connections.CloseIdle()
	d.logger.Info().Msg("daemon: stopped")
}

// refuseInFlight ends the requests in flight and waits until their callers have got a final answer.
func (d *Daemon) refuseInFlight() {
	d.endDrain()
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTimeout)
	defer cancel()
	if err := d.inFlight.wait(ctx); err != nil {
		d.logger.Warn().Int("requests", d.inFlight.current()).Msg("daemon: stopped with requests that got no answer")
	}
}

// remainingTime returns the time until the deadline of ctx.
func remainingTime(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// SetControl replaces the configured control addresses without closing an established session; an empty list is
// ignored.
func (d *Daemon) SetControl(addresses []netip.AddrPort) {
	if len(addresses) > 0 {
		d.link.reconfigure(addresses)
	}
}

// CallersAddress returns the address that serves callers.
func (d *Daemon) CallersAddress() netip.AddrPort {
	return addressOf(d.listeners.Callers)
}

// SubcallsAddress returns the address that serves announcements and nested calls of the backend server.
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

// OperatorsAddress returns the address that serves operators.
func (d *Daemon) OperatorsAddress() netip.AddrPort {
	return addressOf(d.listeners.Operators)
}

// Events returns the timeline events that this daemon recorded and still retains.
func (d *Daemon) Events() []timeline.Event {
	return d.ring.Events()
}

func (d *Daemon) record(component, text string) {
	d.ring.Record(time.Now(), component, text)
}

func (d *Daemon) snapshot() configuration.Snapshot {
	snapshot, _ := d.view.Current(boottime.Now())
	return snapshot
}

func (d *Daemon) budget(service string) retryBudget {
	return d.budgets.get(service)
}

// alive reports whether the daemon at address responds to a ping; this daemon is always alive.
func (d *Daemon) alive(address netip.AddrPort) bool {
	return address == d.peerAddress() || d.pool.Ping(address)
}

// isOwn reports whether t is the backend server of this daemon.
func (d *Daemon) isOwn(t target.Target) bool {
	return t.Daemon == d.settings.Name
}

package control

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sapphirespread.example/internal/control/controlpb"
	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/host/budget"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/internal/settings"
	"sapphirespread.example/internal/store"
	"sapphirespread.example/timeline"
)

const (
	kindControl    = "control"
	kindRelayed    = "control-relayed"
	proposeTimeout = 5 * time.Second
	// stopTimeout limits the leadership transfer and the draining of HTTP requests separately. Both must finish before
	// the platform kills the process, which it does after a few seconds.
	stopTimeout  = 2 * time.Second
	timelineSize = 4096
)

var (
	errAnswerCount = errors.New("number of claim answers differs from the number of claim steps")
	errNoAttach    = errors.New("first message is not an attach that names a daemon")
	errNoLeader    = errors.New("no leader is known")
)

// A Control is a control instance, one replica of the cluster's control state.
type Control struct {
	settings     settings.Control
	logger       zerolog.Logger
	tls          *tls.Config
	listeners    Listeners
	extraServers []extraServer
	incarnation  uint64
	clock        *timeline.Clock
	ring         *timeline.Ring
	state        *state
	store        *store.Store
	batcher      *batcher
	pool         *peer.Pool
	peers        *peer.Server
	publishGate  *publishGate
	leadership   atomic.Pointer[leadership]
	opened       chan struct{}
	requestsHeld chan struct{}
	// clients holds the budgets of the ports by name. It is complete before the first of them is served.
	clients map[string]*budget.Budget
}

// New returns a control instance with the given settings. It serves nothing until Run is called.
func New(s settings.Control, options ...Option) *Control {
	c := &Control{
		settings:     s,
		logger:       zerolog.Nop(),
		incarnation:  uint64(time.Now().UnixNano()),
		clock:        timeline.NewClock(),
		state:        newState(),
		publishGate:  newPublishGate(),
		opened:       make(chan struct{}),
		requestsHeld: make(chan struct{}, 1),
		clients:      make(map[string]*budget.Budget),
	}
	for _, option := range options {
		option(c)
	}
	c.ring = timeline.NewRing(c.clock, s.Name, timelineSize)
	return c
}

// Run opens the data folder and serves until ctx ends, transferring the leadership before it stops.
func (c *Control) Run(ctx context.Context) error {
	if err := c.listen(); err != nil {
		return err
	}
	self := peer.Identity{Cluster: c.settings.Cluster, Process: c.settings.Name, Incarnation: c.incarnation}
	c.pool = peer.NewPool(self, peer.WithPoolLogger(c.logger), peer.WithPoolTLS(c.tls))
	c.peers = peer.NewServer(self, peer.WithServerLogger(c.logger), peer.WithServerTLS(c.tls))
	opened, err := c.openStore(ctx)
	if err != nil {
		return fmt.Errorf("opening the data folder %s: %w", c.settings.DataFolder, err)
	}
	if opened == nil {
		return nil
	}
	c.store = opened
	c.batcher = newBatcher(c.store.Propose)
	c.peers.Handle(kindControl, c.serveDaemon)
	c.peers.Handle(kindRelayed, c.serveRelayed)
	c.peers.Handle(kindOperatorsAddress, c.serveOperatorsAddress)
	close(c.opened)
	return c.serve(ctx)
}

// serve runs the servers and background loops until ctx ends or one of them fails.
func (c *Control) serve(ctx context.Context) error {
	operators, err := newOperatorsServer(c)
	if err != nil {
		return fmt.Errorf("serving operators: %w", err)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.peers.Serve(c.listeners.Peers) })
	servers, err := c.extraPortServers()
	if err != nil {
		return err
	}
	servers = append(servers, operators)
	for _, server := range servers {
		group.Go(server.serve)
	}
	group.Go(func() error { return c.watchStore(ctx) })
	group.Go(func() error {
		c.batcher.run(ctx)
		return nil
	})
	group.Go(func() error {
		c.runLeadership(ctx)
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		c.stop(servers)
		return nil
	})
	c.record("control", "started")
	c.logger.Info().Stringer("peers", c.listeners.Peers.Addr()).Stringer("operators", c.listeners.Operators.Addr()).Msg("control: serving")
	return group.Wait()
}

// watchStore returns an error, which ends the process, if the store stops on its own, for example after a failed sync.
func (c *Control) watchStore(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-c.store.Done():
	}
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("replicated store stopped: %w", c.store.Err())
}

// listen opens the peer and operator listeners that were not passed as options.
func (c *Control) listen() error {
	if c.listeners.Peers == nil {
		listener, err := net.Listen("tcp", c.settings.PeerListen.String())
		if err != nil {
			return fmt.Errorf("listening for peers on %s: %w", c.settings.PeerListen, err)
		}
		c.listeners.Peers = listener
	}
	if c.listeners.Operators == nil {
		listener, err := net.Listen("tcp", c.settings.OperatorsListen.String())
		if err != nil {
			return fmt.Errorf("listening for operators on %s: %w", c.settings.OperatorsListen, err)
		}
		c.listeners.Operators = listener
	}
	return nil
}

func (c *Control) storeSettings() store.Settings {
	members := make([]store.Member, 0, len(c.settings.Members))
	for _, member := range c.settings.Members {
		members = append(members, store.Member{Name: member.Name, Address: member.Address})
	}
	return store.Settings{
		Name:            c.settings.Name,
		Cluster:         c.settings.Cluster,
		DataFolder:      c.settings.DataFolder,
		Members:         members,
		Address:         c.settings.PeerAdvertise,
		Join:            c.settings.Join,
		Voters:          c.settings.Voters,
		ElectionTimeout: c.settings.ElectionTimeout,
		Heartbeat:       c.settings.Heartbeat,
	}
}

// runLeadership starts and ends leaderships as the store's leader lease changes. While this instance leads, it sends
// grants for held requests and expires targets and quarantine entries.
func (c *Control) runLeadership(ctx context.Context) {
	pollTimer := time.NewTimer(pollPeriod)
	polling := true // whether pollTimer is set
	defer pollTimer.Stop()
	expireTicker := time.NewTicker(expirePeriod)
	defer expireTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.setLeadership(nil)
			return
		case <-c.store.Changed():
			c.syncLeadership(boottime.Now())
		case <-pollTimer.C:
			now := boottime.Now()
			l := c.leadership.Load()
			polling = l != nil && c.holdsLeaseAt(l.term, now) && l.sendHeldGrants(now)
			if polling {
				pollTimer.Reset(pollPeriod)
			}
		case <-c.requestsHeld:
			// A running timer is not reset: frequent held requests would otherwise postpone the poll forever.
			if !polling {
				pollTimer.Reset(pollPeriod)
				polling = true
			}
		case <-expireTicker.C:
			now := boottime.Now()
			c.syncLeadership(now)
			c.expireDue(now)
		}
	}
}

// signalHeldRequest makes runLeadership poll for held grant requests until none is left.
func (c *Control) signalHeldRequest() {
	select {
	case c.requestsHeld <- struct{}{}:
	default:
	}
}

// syncLeadership starts or ends the leadership to match the leader lease. It applies a new configuration to the token
// buckets and wakes the sessions when the configuration, the quarantine or the failure domains in use changed.
func (c *Control) syncLeadership(now time.Time) {
	l := c.leadership.Load()
	if !c.store.HoldsLease(now) {
		if l != nil {
			c.setLeadership(nil)
		}
		return
	}
	term := c.store.Term()
	started := l == nil || l.term != term
	if started {
		l = newLeadership(term, now)
	}
	var changed bool
	c.store.Read(func() {
		l.setBuckets(now, c.state.configuration.Revision(), c.state.configuration.Current())
		changed = l.recordNotified(notifiedVersions{
			revision:   c.state.configuration.Revision(),
			quarantine: c.state.quarantine.Version(),
			outOfUse:   c.state.evacuations.Version(),
		})
	})
	if started {
		c.setLeadership(l)
	}
	if changed {
		l.wakeSessions()
	}
}

// setLeadership replaces the current leadership, closing its sessions; nil means that this instance does not lead.
func (c *Control) setLeadership(next *leadership) {
	previous := c.leadership.Swap(next)
	if previous != nil {
		previous.close()
		c.record("leader", fmt.Sprintf("leadership of term %d ended", previous.term))
	}
	if next != nil {
		c.record("leader", fmt.Sprintf("leads in term %d", next.term))
		c.logger.Info().Uint64("term", next.term).Msg("control: became leader")
	}
}

// expireDue expires targets and, every quarantinePeriod, quarantine entries while this instance leads.
func (c *Control) expireDue(now time.Time) {
	l := c.leadership.Load()
	if l == nil {
		return
	}
	if l.quarantineDue(now) {
		go c.expireQuarantine()
	}
	for _, expired := range l.expireTargets(now) {
		c.record("membership", "target "+expired.Name+" of "+expired.Service+" expired")
		c.logger.Warn().Str("target", expired.Name).Msg("control: target expired")
	}
}

// expireQuarantine commits the removal of expired quarantine entries, unless the quarantine is empty.
func (c *Control) expireQuarantine() {
	count := 0
	c.store.Read(func() { count = len(c.state.quarantine.Entries()) })
	if count == 0 {
		return
	}
	command := &controlpb.Command{Body: &controlpb.Command_Expire{Expire: &controlpb.QuarantineExpire{}}}
	if _, err := c.proposeCommand(command); err != nil {
		c.logger.Debug().Err(err).Msg("control: could not expire quarantine entries")
	}
}

// Opened returns a channel that is closed once the data folder is open and the instance can serve operators.
func (c *Control) Opened() <-chan struct{} {
	return c.opened
}

// holdsLease reports whether this instance currently holds the leader lease of the term.
func (c *Control) holdsLease(term uint64) bool {
	return c.holdsLeaseAt(term, boottime.Now())
}

// holdsLeaseAt reports whether this instance holds the leader lease of the term at the time now.
func (c *Control) holdsLeaseAt(term uint64, now time.Time) bool {
	return c.store.HoldsLease(now) && c.store.Term() == term
}

// extraPortServers returns the servers added with WithServer.
func (c *Control) extraPortServers() ([]*portServer, error) {
	var servers []*portServer
	for _, configured := range c.extraServers {
		listener, err := net.Listen("tcp", configured.address.String())
		if err != nil {
			return nil, fmt.Errorf("listening on %s: %w", configured.address, err)
		}
		servers = append(servers, c.newServer(configured.name, listener, configured.handler(c)))
	}
	return servers, nil
}

// stop transfers the leadership, drains the HTTP servers, ends the sessions and closes the store.
func (c *Control) stop(servers []*portServer) {
	c.record("control", "stopping")
	c.logger.Info().Msg("control: stopping")
	c.transferLeadership()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range servers {
		server.stop(ctx)
	}
	c.setLeadership(nil)
	_ = c.store.Close()
	_ = c.peers.Close()
	_ = c.pool.Close()
}

// transferLeadership transfers the leadership to another instance if this one leads.
func (c *Control) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := c.store.Transfer(ctx); err != nil {
		c.logger.Info().Err(err).Msg("control: could not transfer leadership")
	}
}

// stamp advances the hybrid clock past a stamp received from a peer, if any, and returns a later one.
func (c *Control) stamp(received *peerpb.Stamp) *peerpb.Stamp {
	now := time.Now()
	if received != nil {
		c.clock.Observe(now, timeline.Stamp{Wall: time.Unix(0, received.GetWallNs()), Logical: received.GetLogical()})
	}
	stamp := c.clock.Now(now)
	return &peerpb.Stamp{WallNs: stamp.Wall.UnixNano(), Logical: stamp.Logical}
}

// record adds an event to the time line.
func (c *Control) record(component, text string) {
	c.ring.Record(time.Now(), component, text)
}

// Events returns the time-line events kept by this instance.
func (c *Control) Events() []timeline.Event {
	return c.ring.Events()
}

// OperatorsAddress returns the address at which the operator API is served.
func (c *Control) OperatorsAddress() netip.AddrPort {
	address, _ := netip.ParseAddrPort(c.listeners.Operators.Addr().String())
	return address
}

package control

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sapphirespread.example/internal/control/controlpb"
	"sapphirespread.example/internal/host/boottime"
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
	// stopTimeout is for handing over and for the operators' calls under way, each; a platform kills after some seconds.
	stopTimeout  = 2 * time.Second
	timelineSize = 4096
)

var (
	errBadResult = errors.New("result of a command cannot be read")
	errNoAttach  = errors.New("first message is not attach")
	errNoLeader  = errors.New("no leader is known")
)

// A Control is one control instance.
type Control struct {
	settings    settings.Control
	logger      zerolog.Logger
	tls         *tls.Config
	listeners   Listeners
	extra       []extraServer
	incarnation uint64
	clock       *timeline.Clock
	ring        *timeline.Ring
	state       *state
	store       *store.Store
	batcher     *batcher
	pool        *peer.Pool
	peers       *peer.Server
	leadership  atomic.Pointer[leadership]
	opened      chan struct{}
	held        chan struct{}
}

// New returns a control instance of s that serves nothing until Run.
func New(s settings.Control, options ...Option) *Control {
	c := &Control{
		settings:    s,
		logger:      zerolog.Nop(),
		incarnation: uint64(time.Now().UnixNano()),
		clock:       timeline.NewClock(),
		state:       newState(),
		opened:      make(chan struct{}),
		held:        make(chan struct{}, 1),
	}
	for _, option := range options {
		option(c)
	}
	c.ring = timeline.NewRing(c.clock, s.Name, timelineSize)
	return c
}

// Run opens the data folder and serves until ctx ends; a leader then hands over before it stops.
func (c *Control) Run(ctx context.Context) error {
	if err := c.listen(); err != nil {
		return err
	}
	self := peer.Identity{Cluster: c.settings.Cluster, Process: c.settings.Name, Incarnation: c.incarnation}
	c.pool = peer.NewPool(self, peer.WithPoolLogger(c.logger), peer.WithPoolTLS(c.tls))
	c.peers = peer.NewServer(self, peer.WithServerLogger(c.logger), peer.WithServerTLS(c.tls))
	opened, err := store.Open(c.storeSettings(), c.state, c.pool, c.peers, store.WithLogger(c.logger))
	if err != nil {
		return fmt.Errorf("opening the data folder %s: %w", c.settings.DataFolder, err)
	}
	c.store = opened
	c.batcher = newBatcher(c.store.Propose)
	c.peers.Handle(kindControl, c.serveDaemon)
	c.peers.Handle(kindRelayed, c.serveRelayed)
	c.peers.Handle(kindOperators, c.serveOperatorsAddress)
	close(c.opened)
	return c.serve(ctx)
}

func (c *Control) serve(ctx context.Context) error {
	operators, err := newOperatorsServer(c)
	if err != nil {
		return fmt.Errorf("serving operators: %w", err)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.peers.Serve(c.listeners.Peers) })
	group.Go(func() error { return serveHTTP(operators.Server, c.listeners.Operators) })
	extra, err := c.serveExtra(group)
	if err != nil {
		return err
	}
	group.Go(func() error { return c.watchStore(ctx) })
	group.Go(func() error {
		c.batcher.run(ctx)
		return nil
	})
	group.Go(func() error {
		c.lead(ctx)
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		c.stop(append(extra, operators.Server))
		return nil
	})
	c.record("control", "started")
	c.logger.Info().Stringer("peers", c.listeners.Peers.Addr()).Stringer("operators", c.listeners.Operators.Addr()).Msg("control: serving")
	return group.Wait()
}

// watchStore ends the process where the store has stopped by itself, such as after a failed sync.
func (c *Control) watchStore(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-c.store.Done():
	}
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("keeping the replicated state: %w", c.store.Err())
}

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

// lead follows the store: it begins and ends leaderships, and does what is due for the present one.
func (c *Control) lead(ctx context.Context) {
	polls := time.NewTimer(pollPeriod)
	polling := true // polls is set
	defer polls.Stop()
	expiries := time.NewTicker(expirePeriod)
	defer expiries.Stop()
	for {
		select {
		case <-ctx.Done():
			c.changeLeadership(nil)
			return
		case <-c.store.Changed():
			c.follow(boottime.Now())
		case <-polls.C:
			now := boottime.Now()
			l := c.leadership.Load()
			polling = l != nil && c.leadsAt(l.term, now) && l.poll(now)
			if polling {
				polls.Reset(pollPeriod)
			}
		case <-c.held:
			// A poll that is due stays due, however often asks are held.
			if !polling {
				polls.Reset(pollPeriod)
				polling = true
			}
		case <-expiries.C:
			now := boottime.Now()
			c.follow(now)
			c.expire(now)
		}
	}
}

// holdAsk makes the leader poll for asks that were held back.
func (c *Control) holdAsk() {
	select {
	case c.held <- struct{}{}:
	default:
	}
}

// follow begins or ends a leadership as the store says, and passes on what was applied.
func (c *Control) follow(now time.Time) {
	current := c.leadership.Load()
	if !c.store.Lease(now) {
		if current != nil {
			c.changeLeadership(nil)
		}
		return
	}
	term := c.store.Term()
	begins := current == nil || current.term != term
	if begins {
		current = newLeadership(term, now)
	}
	var news bool
	c.store.Read(func() {
		current.configure(now, c.state.configuration.Revision(), c.state.configuration.Current())
		news = current.hasNews(c.state.configuration.Revision(), c.state.quarantine.Version())
	})
	if begins {
		c.changeLeadership(current)
	}
	if news {
		current.wake()
	}
}

func (c *Control) changeLeadership(next *leadership) {
	previous := c.leadership.Swap(next)
	if previous != nil {
		previous.end()
		c.record("leader", fmt.Sprintf("leadership of term %d ended", previous.term))
	}
	if next != nil {
		c.record("leader", fmt.Sprintf("leads in term %d", next.term))
		c.logger.Info().Uint64("term", next.term).Msg("control: leads")
	}
}

func (c *Control) expire(now time.Time) {
	l := c.leadership.Load()
	if l == nil {
		return
	}
	if l.quarantineDue(now) {
		go c.expireQuarantine()
	}
	for _, gone := range l.expire(now) {
		c.record("membership", "target "+gone.Name+" of "+gone.Service+" expired")
		c.logger.Warn().Str("target", gone.Name).Msg("control: target expired")
	}
}

// expireQuarantine ends what the quarantine holds no longer, where it holds anything.
func (c *Control) expireQuarantine() {
	held := 0
	c.store.Read(func() { held = len(c.state.quarantine.Entries()) })
	if held == 0 {
		return
	}
	command := &controlpb.Command{Body: &controlpb.Command_Expire{Expire: &controlpb.QuarantineExpire{}}}
	if _, err := c.proposeCommand(command); err != nil {
		c.logger.Debug().Err(err).Msg("control: quarantine not expired")
	}
}

// Opened is closed once the data folder is open, so that operators can be served.
func (c *Control) Opened() <-chan struct{} {
	return c.opened
}

// leads reports whether this instance holds the leader lease of term now.
func (c *Control) leads(term uint64) bool {
	return c.leadsAt(term, boottime.Now())
}

// leadsAt reports whether this instance holds the leader lease of term at now.
func (c *Control) leadsAt(term uint64, now time.Time) bool {
	return c.store.Lease(now) && c.store.Term() == term
}

// serveExtra starts the further servers and returns them.
func (c *Control) serveExtra(group *errgroup.Group) ([]*http.Server, error) {
	var servers []*http.Server
	for _, extra := range c.extra {
		listener, err := net.Listen("tcp", extra.address.String())
		if err != nil {
			return nil, fmt.Errorf("listening on %s: %w", extra.address, err)
		}
		server := c.newHTTPServer(extra.handler(c))
		servers = append(servers, server)
		group.Go(func() error { return serveHTTP(server, listener) })
	}
	return servers, nil
}

func (c *Control) stop(servers []*http.Server) {
	c.record("control", "stopping")
	c.logger.Info().Msg("control: stopping")
	c.handOver()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
	c.changeLeadership(nil)
	_ = c.store.Close()
	_ = c.peers.Close()
	_ = c.pool.Close()
}

// handOver gives the leadership to another instance, where this one has it.
func (c *Control) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := c.store.Transfer(ctx); err != nil {
		c.logger.Info().Err(err).Msg("control: leadership not handed over")
	}
}

// stamp advances the clock by a peer's stamp and returns a later one.
func (c *Control) stamp(seen *peerpb.Stamp) *peerpb.Stamp {
	now := time.Now()
	if seen != nil {
		c.clock.Observe(now, timeline.Stamp{Wall: time.Unix(0, seen.GetWallNs()), Logical: seen.GetLogical()})
	}
	stamp := c.clock.Now(now)
	return &peerpb.Stamp{WallNs: stamp.Wall.UnixNano(), Logical: stamp.Logical}
}

func (c *Control) record(part, text string) {
	c.ring.Record(time.Now(), part, text)
}

// Events returns the instance's part of the time line.
func (c *Control) Events() []timeline.Event {
	return c.ring.Events()
}

// OperatorsAddress returns where operators are served.
func (c *Control) OperatorsAddress() netip.AddrPort {
	address, _ := netip.ParseAddrPort(c.listeners.Operators.Addr().String())
	return address
}

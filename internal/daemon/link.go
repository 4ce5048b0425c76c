package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/peer/peerpb"
)

const (
	kindControl      = "control"
	heartbeatPeriod  = 500 * time.Millisecond
	askPeriod        = 10 * time.Millisecond // a small part of limit.DefaultPrefetch; a call that waits is asked for at once
	quietAskPeriod   = 100 * time.Millisecond
	quietAfter       = time.Second
	confirmTimeout   = time.Second
	reconnectPause   = 50 * time.Millisecond
	reconnectSpread  = 150 * time.Millisecond
	maxQueuedReports = 4096
	maxControls      = 7 // the most members that a cluster has
)

// A link keeps the daemon attached to one control instance, and moves to another where that one
// cannot confirm.
type link struct {
	daemon  *Daemon
	out     chan *peerpb.DaemonMessage
	kicked  chan struct{}
	nextID  atomic.Uint64
	dirty   atomic.Bool
	answers pendingAnswers
	wanted  wantedServices
	mu      sync.Mutex
	leader  string
	since   time.Time
	newest  generation
	told    []netip.AddrPort
	// configured are the control instances of the settings, which may change.
	configured []netip.AddrPort
}

func newLink(d *Daemon) *link {
	return &link{
		daemon:  d,
		out:     make(chan *peerpb.DaemonMessage, maxQueuedReports),
		kicked:  make(chan struct{}, 1),
		answers: newPendingAnswers(),
		wanted:  newWantedServices(),

		configured: d.settings.Control,
	}
}

// kick makes the link send what is new at once.
func (l *link) kick() {
	select {
	case l.kicked <- struct{}{}:
	default:
	}
}

// kickHeartbeat makes the link send a heartbeat at once, with what it says of this daemon.
func (l *link) kickHeartbeat() {
	l.dirty.Store(true)
	l.kick()
}

// changed reports whether a heartbeat is due at once.
func (l *link) changed() bool {
	return l.dirty.Swap(false)
}

// run keeps the link up until ctx ends.
func (l *link) run(ctx context.Context) {
	next := rand.IntN(maxControls)
	var hint netip.AddrPort
	for ctx.Err() == nil {
		address := hint
		if !address.IsValid() {
			addresses := l.controls()
			address = addresses[next%len(addresses)]
			next++
		}
		hint = l.attach(ctx, address)
		if !hint.IsValid() {
			sleep(ctx, reconnectPause+rand.N(reconnectSpread))
		}
	}
}

// controls returns where control instances are: those that a leader told last, and those of the settings.
func (l *link) controls() []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	addresses := slices.Clone(l.told)
	for _, configured := range l.configured {
		if !slices.Contains(addresses, configured) {
			addresses = append(addresses, configured)
		}
	}
	return addresses
}

// reconfigure replaces the control instances of the settings.
func (l *link) reconfigure(controls []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configured = slices.Clone(controls)
}

// tell takes the addresses of the control instances as the leader tells them.
func (l *link) tell(addresses []string) {
	var told []netip.AddrPort
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			l.daemon.logger.Warn().Err(err).Str("address", text).Msg("link: address of a control instance not understood")
			continue
		}
		told = append(told, address)
	}
	if len(told) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = told
}

// attach serves one session with the control instance at address, and returns where to go next.
func (l *link) attach(ctx context.Context, address netip.AddrPort) netip.AddrPort {
	opening, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	stream, err := l.daemon.pool.Open(opening, address, kindControl)
	if err != nil {
		l.daemon.logger.Debug().Err(err).Stringer("address", address).Msg("link: control instance not reached")
		return netip.AddrPort{}
	}
	session := newLinkSession(l, stream)
	next, err := session.run(ctx)
	l.detached()
	if ctx.Err() == nil {
		l.daemon.logger.Info().Err(err).Stringer("address", address).Msg("link: detached from control")
	}
	return next
}

func (l *link) attached(leader string) {
	l.mu.Lock()
	l.leader = leader
	l.since = time.Now()
	l.mu.Unlock()
	l.daemon.record("control", "attached to leader "+leader)
	l.daemon.logger.Info().Str("leader", leader).Msg("link: attached to control")
}

func (l *link) detached() {
	l.mu.Lock()
	known := l.leader != ""
	l.leader = ""
	l.mu.Unlock()
	l.answers.failAll()
	l.daemon.holder.Disconnect(boottime.Now())
	if known {
		l.daemon.record("control", "detached from control")
	}
}

// attachedTo returns the leader that the link is attached to, or nothing.
func (l *link) attachedTo() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// enqueue queues message for the next session where none is up, and reports whether there was room.
func (l *link) enqueue(message *peerpb.DaemonMessage) bool {
	select {
	case l.out <- message:
		return true
	default:
		l.daemon.counters.droppedReports.Add(1)
		return false
	}
}

// need waits until the targets of service are known, or the bound has passed.
func (l *link) need(ctx context.Context, service string) {
	known := l.wanted.want(service)
	select {
	case <-known:
		return
	default:
	}
	l.kickHeartbeat()
	timer := time.NewTimer(membershipTimeout)
	defer timer.Stop()
	select {
	case <-known:
	case <-timer.C:
	case <-ctx.Done():
	}
}

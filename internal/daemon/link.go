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
	kindControl            = "control"
	heartbeatPeriod        = 500 * time.Millisecond
	grantRequestPeriod     = 10 * time.Millisecond // a small part of limit.DefaultPrefetch; a call that waits is asked for at once
	idleGrantRequestPeriod = 100 * time.Millisecond
	demandIdleAfter        = time.Second
	confirmTimeout         = time.Second
	reconnectDelay         = 50 * time.Millisecond
	reconnectJitter        = 150 * time.Millisecond
	maxQueuedReports       = 4096
	maxControlMembers      = 7 // the most members that a cluster has
)

// A link keeps the daemon attached to one control instance, and moves to another where that one
// cannot confirm.
type link struct {
	daemon             *Daemon
	sendQueue          chan *peerpb.DaemonMessage
	wakeups            chan struct{}
	lastID             atomic.Uint64
	heartbeatRequested atomic.Bool
	pending            pendingRequests
	called             calledServices
	mu                 sync.Mutex
	leader             string
	attachedAt         time.Time
	newest             generation
	advertised         []netip.AddrPort
	// configured are the control instances of the settings, which may change.
	configured []netip.AddrPort
}

func newLink(d *Daemon) *link {
	return &link{
		daemon:    d,
		sendQueue: make(chan *peerpb.DaemonMessage, maxQueuedReports),
		wakeups:   make(chan struct{}, 1),
		pending:   newPendingRequests(),
		called:    newCalledServices(),

		configured: d.settings.Control,
	}
}

// kick makes the link send what is new at once.
func (l *link) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// kickHeartbeat makes the link send a heartbeat at once, with what it says of this daemon.
func (l *link) requestHeartbeat() {
	l.heartbeatRequested.Store(true)
	l.wake()
}

// changed reports whether a heartbeat is due at once.
func (l *link) takeHeartbeatRequest() bool {
	return l.heartbeatRequested.Swap(false)
}

// run keeps the link up until ctx ends.
func (l *link) run(ctx context.Context) {
	next := rand.IntN(maxControlMembers)
	var hint netip.AddrPort
	for ctx.Err() == nil {
		address := hint
		if !address.IsValid() {
			addresses := l.controlAddresses()
			address = addresses[next%len(addresses)]
			next++
		}
		hint = l.attach(ctx, address)
		if !hint.IsValid() {
			sleep(ctx, reconnectDelay+rand.N(reconnectJitter))
		}
	}
}

// controls returns where control instances are: those that a leader told last, and those of the settings.
func (l *link) controlAddresses() []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	addresses := slices.Clone(l.advertised)
	for _, configured := range l.configured {
		if !slices.Contains(addresses, configured) {
			addresses = append(addresses, configured)
		}
	}
	return addresses
}

// reconfigure replaces the control instances of the settings.
func (l *link) reconfigure(addresses []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configured = slices.Clone(addresses)
}

// tell takes the addresses of the control instances as the leader tells them.
func (l *link) setAdvertised(addresses []string) {
	var advertised []netip.AddrPort
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			l.daemon.logger.Warn().Err(err).Str("address", text).Msg("link: address of a control instance not understood")
			continue
		}
		advertised = append(advertised, address)
	}
	if len(advertised) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advertised = advertised
}

// attach serves one session with the control instance at address, and returns where to go next.
func (l *link) attach(ctx context.Context, address netip.AddrPort) netip.AddrPort {
	openCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	stream, err := l.daemon.pool.Open(openCtx, address, kindControl)
	if err != nil {
		l.daemon.logger.Debug().Err(err).Stringer("address", address).Msg("link: control instance not reached")
		return netip.AddrPort{}
	}
	session := newLinkSession(l, stream)
	next, err := session.run(ctx)
	l.markDetached()
	if ctx.Err() == nil {
		l.daemon.logger.Info().Err(err).Stringer("address", address).Msg("link: detached from control")
	}
	return next
}

func (l *link) markAttached(leader string) {
	l.mu.Lock()
	l.leader = leader
	l.attachedAt = time.Now()
	l.mu.Unlock()
	l.daemon.record("control", "attached to leader "+leader)
	l.daemon.logger.Info().Str("leader", leader).Msg("link: attached to control")
}

func (l *link) markDetached() {
	l.mu.Lock()
	wasAttached := l.leader != ""
	l.leader = ""
	l.mu.Unlock()
	l.pending.failAll()
	l.daemon.holder.Disconnect(boottime.Now())
	if wasAttached {
		l.daemon.record("control", "detached from control")
	}
}

// attachedTo returns the leader that the link is attached to, or nothing.
func (l *link) currentLeader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// enqueue queues message for the next session where none is up, and reports whether there was room.
func (l *link) enqueue(message *peerpb.DaemonMessage) bool {
	select {
	case l.sendQueue <- message:
		return true
	default:
		l.daemon.counters.dropped.Add(1)
		return false
	}
}

// need waits until the targets of service are known, or the bound has passed.
func (l *link) awaitTargets(ctx context.Context, service string) {
	known := l.called.add(service)
	select {
	case <-known:
		return
	default:
	}
	l.requestHeartbeat()
	timer := time.NewTimer(membershipWaitBound)
	defer timer.Stop()
	select {
	case <-known:
	case <-timer.C:
	case <-ctx.Done():
	}
}

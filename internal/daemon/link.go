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
	grantRequestPeriod     = 10 * time.Millisecond // a small part of limit.DefaultPrefetch; a waiting call triggers a grant request at once
	idleGrantRequestPeriod = 100 * time.Millisecond
	demandIdleAfter        = time.Second
	confirmTimeout         = time.Second
	reconnectDelay         = 50 * time.Millisecond
	reconnectJitter        = 150 * time.Millisecond
	maxAttaching           = 3 // one more than the control instances that may be lost at once
	attachStagger          = 100 * time.Millisecond
	maxQueuedReports       = 4096
	maxControlMembers      = 7 // largest cluster size
)

// link keeps the daemon attached to one control instance and moves to another if that one does not confirm heartbeats.
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
	// configured contains the control addresses of the settings, which may be replaced at run time.
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

// wake makes the session send grant requests and any requested heartbeat at once.
func (l *link) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// requestHeartbeat makes the session send a heartbeat, including a changed announcement, at once.
func (l *link) requestHeartbeat() {
	l.heartbeatRequested.Store(true)
	l.wake()
}

// takeHeartbeatRequest reports whether an immediate heartbeat was requested and clears the request.
func (l *link) takeHeartbeatRequest() bool {
	return l.heartbeatRequested.Swap(false)
}

// run attaches to control instances until ctx ends and serves one session after another, with a randomized delay between
// them.
func (l *link) run(ctx context.Context) {
	offset := rand.IntN(maxControlMembers)
	for ctx.Err() == nil {
		addresses := l.controlAddresses()
		offset++
		start := offset % len(addresses)
		if session := l.attach(ctx, slices.Concat(addresses[start:], addresses[:start])); session != nil {
			l.serve(ctx, session)
		}
		sleep(ctx, reconnectDelay+rand.N(reconnectJitter))
	}
}

// controlAddresses returns the addresses that a control instance last advertised, followed by the configured ones.
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

// reconfigure replaces the configured control addresses.
func (l *link) reconfigure(addresses []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configured = slices.Clone(addresses)
}

// setAdvertised replaces the advertised control addresses. It skips invalid addresses and keeps the previous list if
// none is valid.
func (l *link) setAdvertised(addresses []string) {
	var advertised []netip.AddrPort
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			l.daemon.logger.Warn().Err(err).Str("address", text).Msg("link: invalid control instance address")
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

// serve runs an attached session until it ends.
func (l *link) serve(ctx context.Context, session *linkSession) {
	session.begin()
	err := session.serve(ctx)
	l.markDetached()
	if ctx.Err() == nil {
		l.daemon.logger.Info().Err(err).Stringer("address", session.address).Msg("link: detached from control")
	}
}

func (l *link) markAttached(leader string) {
	l.mu.Lock()
	l.leader = leader
	l.attachedAt = time.Now()
	l.mu.Unlock()
	l.daemon.record("control", "attached to leader "+leader)
	l.daemon.logger.Info().Str("leader", leader).Msg("link: attached to control")
}

// markDetached fails all pending requests and notifies the token holder that the connection to the owner is lost.
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

// currentLeader returns the name of the leader that the link is attached to, or an empty string.
func (l *link) currentLeader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// enqueue queues message for the current or next session. If the queue is full, it counts a dropped message and returns
// false.
func (l *link) enqueue(message *peerpb.DaemonMessage) bool {
	select {
	case l.sendQueue <- message:
		return true
	default:
		l.daemon.counters.droppedReports.Add(1)
		return false
	}
}

// awaitTargets waits until the targets of service are known, up to membershipTimeout or the end of ctx.
func (l *link) awaitTargets(ctx context.Context, service string) {
	known := l.called.add(service)
	select {
	case <-known:
		return
	default:
	}
	l.requestHeartbeat()
	timer := time.NewTimer(membershipTimeout)
	defer timer.Stop()
	select {
	case <-known:
	case <-timer.C:
	case <-ctx.Done():
	}
}

package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
)

const (
	maxUnconfirmedHeartbeats = 64
	announcementPeriod       = 900 * time.Millisecond
	// gracefulCloseTimeout leaves a stopping process most of the time that it has before it is killed.
	gracefulCloseTimeout = 300 * time.Millisecond
)

// linkSession is one attached stream to a control instance.
type linkSession struct {
	link             *link
	stream           *peer.Stream
	address          netip.AddrPort
	attached         *peerpb.Attached
	mu               sync.Mutex
	unconfirmed      map[uint64]sentHeartbeat
	sequence         uint64
	confirmedAt      time.Time
	announcedPresent bool

	lastAnnouncement *peerpb.DaemonMessage
	announcedAt      time.Time
	lastSpends       uint64
	lastDemandAt     time.Time
}

// sentHeartbeat is a heartbeat that awaits its confirmation.
type sentHeartbeat struct {
	sentAt   time.Time
	services []string
}

var (
	errNotConfirmed = errors.New("no confirmation in time")
	errRedirected   = errors.New("redirected")
)

func newLinkSession(l *link, stream *peer.Stream, address netip.AddrPort) *linkSession {
	return &linkSession{
		link:        l,
		stream:      stream,
		address:     address,
		unconfirmed: make(map[uint64]sentHeartbeat),
		confirmedAt: boottime.Now(),
	}
}

// attach asks the control instance to attach the daemon. If it is refused, it returns the redirect address, or the zero
// address.
func (s *linkSession) attach() (netip.AddrPort, error) {
	if err := s.stream.Send(s.attachMessage()); err != nil {
		return netip.AddrPort{}, fmt.Errorf("attaching at %s: %w", s.address, err)
	}
	var first peerpb.ControlMessage
	if err := s.stream.Receive(&first); err != nil {
		return netip.AddrPort{}, fmt.Errorf("attaching at %s: %w", s.address, err)
	}
	if redirect := first.GetRedirect(); redirect != nil {
		redirectAddress, _ := netip.ParseAddrPort(redirect.GetAddress())
		return redirectAddress, fmt.Errorf("attaching at %s: %w: %s", s.address, errRedirected, redirect.GetReason())
	}
	if first.GetAttached() == nil {
		return netip.AddrPort{}, fmt.Errorf("attaching at %s: unexpected first message", s.address)
	}
	s.attached = first.GetAttached()
	return netip.AddrPort{}, nil
}

// begin makes the session the current one of the link.
func (s *linkSession) begin() {
	s.confirmedAt = boottime.Now()
	s.link.daemon.quarantine.Reset()
	s.link.setAdvertised(s.attached.GetControlAddresses())
	s.link.markAttached(s.attached.GetLeader())
}

func (s *linkSession) serve(ctx context.Context) error {
	received := make(chan error, 1)
	go func() { received <- s.receiveLoop() }()
	err := s.sendLoop(ctx, received)
	s.stream.Abort()
	return err
}

func (s *linkSession) attachMessage() *peerpb.DaemonMessage {
	d := s.link.daemon
	epoch, version := d.table.Version()
	attach := &peerpb.Attach{
		Daemon:            d.settings.Name,
		Incarnation:       d.incarnation,
		FailureDomain:     d.settings.FailureDomain,
		PeerAddress:       d.peerAddress().String(),
		OperatorsAddress:  d.OperatorsAddress().String(),
		Revision:          d.view.Revision(),
		MembershipEpoch:   epoch,
		MembershipVersion: version,
	}
	return &peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Attach{Attach: attach}}
}

// sendLoop sends heartbeats, grant requests and queued messages until the session fails or ctx ends.
func (s *linkSession) sendLoop(ctx context.Context, received <-chan error) error {
	heartbeats := time.NewTicker(heartbeatPeriod)
	defer heartbeats.Stop()
	grantRequests := time.NewTimer(grantRequestPeriod)
	defer grantRequests.Stop()
	err := s.sendHeartbeat()
	for err == nil {
		select {
		case <-ctx.Done():
			return s.closeGracefully()
		case err = <-received:
			return err
		case message := <-s.link.sendQueue:
			err = s.stream.Send(message)
		case <-heartbeats.C:
			err = s.sendHeartbeat()
		case <-s.link.wakeups:
			err = errors.Join(s.requestGrants(), s.sendRequestedHeartbeat())
		case now := <-grantRequests.C:
			err = s.requestGrants()
			grantRequests.Reset(s.grantRequestDelay(now))
		}
	}
	return err
}

// grantRequestDelay returns the time until demand is next checked, which is longer without recent demand.
func (s *linkSession) grantRequestDelay(now time.Time) time.Duration {
	spends := s.link.daemon.rateLimiter.spendCount.Load()
	if spends != s.lastSpends {
		s.lastSpends = spends
		s.lastDemandAt = now
	}
	if now.Sub(s.lastDemandAt) > demandIdleAfter {
		return idleGrantRequestPeriod
	}
	return grantRequestPeriod
}

// sendHeartbeat renews the announcement and requests a confirmation of the versions that this daemon holds. It fails if
// no heartbeat was confirmed within confirmTimeout.
func (s *linkSession) sendHeartbeat() error {
	now := boottime.Now()
	if s.sinceConfirmation(now) > confirmTimeout {
		return errNotConfirmed
	}
	if err := s.bufferAnnouncement(now); err != nil {
		return err
	}
	d := s.link.daemon
	_, version := d.table.Version()
	services := s.link.called.names()
	heartbeat := &peerpb.Heartbeat{
		Sequence:          s.addUnconfirmed(now, services),
		Revision:          d.view.Revision(),
		MembershipVersion: version,
		CalledServices:    services,
		QuarantineVersion: d.quarantine.Version(),
		OutOfUseVersion:   d.domains.Version(),
		Stamp:             message.EncodeStamp(d.clock.Now(time.Now())),
	}
	return s.stream.Send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Heartbeat{Heartbeat: heartbeat}})
}

func (s *linkSession) sinceConfirmation(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.confirmedAt)
}

func (s *linkSession) addUnconfirmed(now time.Time, services []string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.unconfirmed[s.sequence] = sentHeartbeat{sentAt: now, services: services}
	delete(s.unconfirmed, s.sequence-maxUnconfirmedHeartbeats)
	return s.sequence
}

// sendRequestedHeartbeat sends a heartbeat if one was requested because a service or the announcement changed.
func (s *linkSession) sendRequestedHeartbeat() error {
	if s.link.takeHeartbeatRequest() {
		return s.sendHeartbeat()
	}
	return nil
}

// bufferAnnouncement buffers the announcement if it changed or is due, so that it is written together with the
// heartbeat that follows.
func (s *linkSession) bufferAnnouncement(now time.Time) error {
	announcement, incarnation, present := s.link.daemon.backend.announcementAt(time.Now())
	if !present && !s.announcedPresent {
		return nil
	}
	state := string(announcement.State)
	switch {
	case !present:
		state = stateLeft
	case s.link.daemon.targetDraining.Load():
		state = string(target.Draining)
	}
	message := s.announcementMessage(announcement, incarnation, state)
	if proto.Equal(message, s.lastAnnouncement) && now.Sub(s.announcedAt) < announcementPeriod {
		return nil
	}
	s.announcedPresent, s.lastAnnouncement, s.announcedAt = present, message, now
	return s.stream.Buffer(message)
}

// stateLeft is the announced state of a backend server that has left or expired.
const stateLeft = "left"

func (s *linkSession) announcementMessage(announcement Announcement, incarnation uint64, state string) *peerpb.DaemonMessage {
	d := s.link.daemon
	encoded := message.EncodeTarget(target.Target{
		Name:          announcement.Name,
		Service:       announcement.Service,
		FailureDomain: d.settings.FailureDomain,
		Daemon:        d.settings.Name,
		Peer:          d.peerAddress(),
		Incarnation:   incarnation,
		Slots:         announcement.Slots,
		InFlight:      announcement.InFlight,
		Connections:   announcement.Connections,
		StartedAt:     announcement.StartedAt,
		Pace:          d.pace.share(),
	})
	encoded.State = state
	return &peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Announce{Announce: encoded}}
}

// closeGracefully returns unspent tokens, sends queued messages and announces the departure of the target.
func (s *linkSession) closeGracefully() error {
	_ = s.stream.SetDeadline(time.Now().Add(gracefulCloseTimeout))
	if err := s.sendReturns(s.link.daemon.holder.ReturnAll(), s.link.daemon.holder.CollectFallbackSpending(boottime.Now())); err != nil {
		return err
	}
	for {
		select {
		case message := <-s.link.sendQueue:
			if err := s.stream.Send(message); err != nil {
				return err
			}
		default:
			return s.sendDeparture()
		}
	}
}

func (s *linkSession) sendDeparture() error {
	announcement, incarnation, _ := s.link.daemon.backend.announcementAt(time.Now())
	if announcement.Name == "" {
		return nil
	}
	return s.stream.Send(s.announcementMessage(announcement, incarnation, stateLeft))
}

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
	maxSentHeartbeats = 64
	announcePeriod    = 900 * time.Millisecond
	// farewellTimeout leaves a stopping process most of its time before it is killed.
	farewellTimeout = 300 * time.Millisecond
)

// A linkSession is one stream to a control instance.
type linkSession struct {
	link      *link
	stream    *peer.Stream
	mu        sync.Mutex
	sent      map[uint64]sentHeartbeat
	sequence  uint64
	confirmed time.Time
	announced bool

	lastAnnounce *peerpb.DaemonMessage
	announcedAt  time.Time
	spends       uint64
	activeAt     time.Time
}

// A sentHeartbeat is a heartbeat whose confirmation is awaited.
type sentHeartbeat struct {
	at       time.Time
	services []string
}

var (
	errNotConfirmed = errors.New("no confirmation in time")
	errRedirected   = errors.New("redirected")
)

func newLinkSession(l *link, stream *peer.Stream) *linkSession {
	return &linkSession{
		link:      l,
		stream:    stream,
		sent:      make(map[uint64]sentHeartbeat),
		confirmed: boottime.Now(),
	}
}

// run serves the session until it fails or ctx ends, and returns where to go next.
func (s *linkSession) run(ctx context.Context) (netip.AddrPort, error) {
	defer s.stream.Abort()
	_ = s.stream.SetDeadline(time.Now().Add(confirmTimeout))
	if err := s.stream.Send(s.attachMessage()); err != nil {
		return netip.AddrPort{}, fmt.Errorf("attaching: %w", err)
	}
	var first peerpb.ControlMessage
	if err := s.stream.Receive(&first); err != nil {
		return netip.AddrPort{}, fmt.Errorf("attaching: %w", err)
	}
	if redirect := first.GetRedirect(); redirect != nil {
		next, _ := netip.ParseAddrPort(redirect.GetAddress())
		return next, fmt.Errorf("attaching: %w: %s", errRedirected, redirect.GetReason())
	}
	if first.GetAttached() == nil {
		return netip.AddrPort{}, errors.New("attaching: unexpected first message")
	}
	if err := s.link.newest.accept(first.GetAttached()); err != nil {
		return netip.AddrPort{}, err
	}
	_ = s.stream.SetDeadline(time.Time{})
	s.link.daemon.quarantine.Reset()
	s.link.tell(first.GetAttached().GetControlAddresses())
	s.link.attached(first.GetAttached().GetLeader())
	return netip.AddrPort{}, s.serve(ctx)
}

func (s *linkSession) serve(ctx context.Context) error {
	received := make(chan error, 1)
	go func() { received <- s.receiveAll() }()
	err := s.sendAll(ctx, received)
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

// sendAll sends what is due until the session fails or ctx ends.
func (s *linkSession) sendAll(ctx context.Context, received <-chan error) error {
	heartbeats := time.NewTicker(heartbeatPeriod)
	defer heartbeats.Stop()
	asks := time.NewTimer(askPeriod)
	defer asks.Stop()
	err := s.heartbeat()
	for err == nil {
		select {
		case <-ctx.Done():
			return s.farewell()
		case err = <-received:
			return err
		case message := <-s.link.out:
			err = s.stream.Send(message)
		case <-heartbeats.C:
			err = s.heartbeat()
		case <-s.link.kicked:
			err = errors.Join(s.ask(), s.heartbeatIfNew())
		case now := <-asks.C:
			err = s.ask()
			asks.Reset(s.untilAsk(now))
		}
	}
	return err
}

// untilAsk returns the time until the next look at demand, which is long where there was none lately.
func (s *linkSession) untilAsk(now time.Time) time.Duration {
	spends := s.link.daemon.tokenWait.spendCount.Load()
	if spends != s.spends {
		s.spends = spends
		s.activeAt = now
	}
	if now.Sub(s.activeAt) > quietAfter {
		return quietAskPeriod
	}
	return askPeriod
}

// heartbeat asks for a confirmation of what this daemon has, and renews the announcement.
func (s *linkSession) heartbeat() error {
	now := boottime.Now()
	if s.silence(now) > confirmTimeout {
		return errNotConfirmed
	}
	if err := s.announce(now); err != nil {
		return err
	}
	d := s.link.daemon
	_, version := d.table.Version()
	services := s.link.wanted.names()
	heartbeat := &peerpb.Heartbeat{
		Sequence:          s.remember(now, services),
		Revision:          d.view.Revision(),
		MembershipVersion: version,
		CalledServices:    services,
		QuarantineVersion: d.quarantine.Version(),
		Stamp:             message.EncodeStamp(d.clock.Now(time.Now())),
	}
	return s.stream.Send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Heartbeat{Heartbeat: heartbeat}})
}

func (s *linkSession) silence(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.confirmed)
}

func (s *linkSession) remember(now time.Time, services []string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.sent[s.sequence] = sentHeartbeat{at: now, services: services}
	delete(s.sent, s.sequence-maxSentHeartbeats)
	return s.sequence
}

// heartbeatIfNew sends a heartbeat at once where a service or an announcement is new.
func (s *linkSession) heartbeatIfNew() error {
	if s.link.changed() {
		return s.heartbeat()
	}
	return nil
}

// announce renews the announcement where it is due, in one write with the heartbeat that follows.
func (s *linkSession) announce(now time.Time) error {
	said, incarnation, present := s.link.daemon.backend.at(time.Now())
	if !present && !s.announced {
		return nil
	}
	state := string(said.State)
	switch {
	case !present:
		state = stateLeft
	case s.link.daemon.leaving.Load():
		state = string(target.Draining)
	}
	message := s.announceMessage(said, incarnation, state)
	if proto.Equal(message, s.lastAnnounce) && now.Sub(s.announcedAt) < announcePeriod {
		return nil
	}
	s.announced, s.lastAnnounce, s.announcedAt = present, message, now
	return s.stream.Buffer(message)
}

// stateLeft is the announced state of a backend server that is gone.
const stateLeft = "left"

func (s *linkSession) announceMessage(said Announcement, incarnation uint64, state string) *peerpb.DaemonMessage {
	d := s.link.daemon
	announce := message.EncodeTarget(target.Target{
		Name:          said.Name,
		Service:       said.Service,
		FailureDomain: d.settings.FailureDomain,
		Daemon:        d.settings.Name,
		Peer:          d.peerAddress(),
		Incarnation:   incarnation,
		Slots:         said.Slots,
		InFlight:      said.InFlight,
		Connections:   said.Connections,
	})
	announce.State = state
	return &peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Announce{Announce: announce}}
}

// farewell returns unspent tokens and takes the target out before a stop.
func (s *linkSession) farewell() error {
	_ = s.stream.SetDeadline(time.Now().Add(farewellTimeout))
	if err := s.sendReturns(s.link.daemon.holder.ReturnAll()); err != nil {
		return err
	}
	for {
		select {
		case message := <-s.link.out:
			if err := s.stream.Send(message); err != nil {
				return err
			}
		default:
			return s.announceLeft()
		}
	}
}

func (s *linkSession) announceLeft() error {
	said, incarnation, _ := s.link.daemon.backend.at(time.Now())
	if said.Name == "" {
		return nil
	}
	return s.stream.Send(s.announceMessage(said, incarnation, stateLeft))
}

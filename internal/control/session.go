package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/limit"
)

const (
	sendQueueSize      = 1024
	sessionReadTimeout = 3 * time.Second
	attachTimeout      = 2 * time.Second
)

var (
	errSlowDaemon      = errors.New("send queue is full")
	errLeadershipEnded = errors.New("leadership has ended")
)

// A session is the connection of one daemon to the leader.
type session struct {
	control          *Control
	leadership       *leadership
	daemon           string
	holder           string
	attach           *peerpb.Attach
	stream           *peer.Stream
	sendQueue        chan *peerpb.ControlMessage
	wakeup           chan struct{}
	closed           chan struct{}
	closeOnce        sync.Once
	revision         atomic.Uint64
	outOfUse         atomic.Uint64 // version that the daemon last confirmed
	mu               sync.Mutex
	calledServices   []string
	servicesChanged  bool
	pendingHeartbeat *peerpb.Heartbeat
	sent             sentVersions
}

// A sentVersions holds the versions that a session has sent to its daemon.
type sentVersions struct {
	revision         uint64
	epoch            uint64
	membership       uint64
	quarantine       uint64
	hasTargets       bool
	outOfUse         uint64
	hasOutOfUse      bool
	controlAddresses []string
}

func newSession(c *Control, l *leadership, attach *peerpb.Attach, stream *peer.Stream) *session {
	return &session{
		control:    c,
		leadership: l,
		daemon:     attach.GetDaemon(),
		holder:     fmt.Sprintf("%s/%d", attach.GetDaemon(), attach.GetIncarnation()),
		attach:     attach,
		stream:     stream,
		sendQueue:  make(chan *peerpb.ControlMessage, sendQueueSize),
		wakeup:     make(chan struct{}, 1),
		closed:     make(chan struct{}),
		sent: sentVersions{
			revision:   attach.GetRevision(),
			epoch:      attach.GetMembershipEpoch(),
			membership: attach.GetMembershipVersion(),
		},
	}
}

func (s *session) close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.stream.Abort()
	})
}

// wake makes the session send pending updates.
func (s *session) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// send queues a message. If the queue is full, because the daemon does not read, it closes the session.
func (s *session) send(message *peerpb.ControlMessage) {
	select {
	case s.sendQueue <- message:
	default:
		s.control.logger.Warn().Err(errSlowDaemon).Str("daemon", s.daemon).Msg("control: session closed")
		s.close()
	}
}

// run serves the session until either side closes it.
func (s *session) run(ctx context.Context) error {
	defer s.close()
	defer context.AfterFunc(ctx, s.close)()
	attached := &peerpb.Attached{Leader: s.control.settings.Name, Term: s.leadership.term}
	attached.Cluster, attached.Generation = s.control.store.Cluster()
	attached.ControlAddresses = s.control.memberAddresses()
	s.sent.controlAddresses = attached.ControlAddresses
	if err := s.stream.Send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Attached{Attached: attached}}); err != nil {
		return err
	}
	// The daemon attaches through several instances at the same time and keeps one session. It sends nothing more on the
	// others, which must not replace the kept one.
	first, err := s.receive()
	if err != nil {
		return err
	}
	if !s.leadership.addSession(s) {
		return errLeadershipEnded
	}
	s.control.record("session", "daemon "+s.daemon+" attached")
	defer s.control.record("session", "daemon "+s.daemon+" detached")
	s.handle(boottime.Now(), first)
	writeErr := make(chan error, 1)
	go func() {
		err := s.writeLoop()
		s.close()
		writeErr <- err
	}()
	err = s.readLoop()
	s.close()
	return errors.Join(err, <-writeErr)
}

func (s *session) readLoop() error {
	for {
		message, err := s.receive()
		if err != nil {
			return err
		}
		s.handle(boottime.Now(), message)
	}
}

func (s *session) receive() (*peerpb.DaemonMessage, error) {
	_ = s.stream.SetReadDeadline(time.Now().Add(sessionReadTimeout))
	message := &peerpb.DaemonMessage{}
	return message, s.stream.Receive(message)
}

func (s *session) handle(now time.Time, message *peerpb.DaemonMessage) {
	switch body := message.GetBody().(type) {
	case *peerpb.DaemonMessage_Heartbeat:
		s.handleHeartbeat(body.Heartbeat)
	case *peerpb.DaemonMessage_Announce:
		s.handleAnnouncement(now, body.Announce)
	case *peerpb.DaemonMessage_Asks:
		s.requestGrants(now, body.Asks)
	case *peerpb.DaemonMessage_Returns:
		s.returnTokens(now, body.Returns)
	case *peerpb.DaemonMessage_Claim, *peerpb.DaemonMessage_ClaimRelease, *peerpb.DaemonMessage_ClaimFinish:
		s.enqueueClaim(message)
	case *peerpb.DaemonMessage_Suspects:
		go s.control.commitSuspects(s, body.Suspects)
	case *peerpb.DaemonMessage_CrashRun:
		go s.control.commitCompletion(s, body.CrashRun)
	case *peerpb.DaemonMessage_Trial:
		go s.control.requestTrial(s, body.Trial)
	case *peerpb.DaemonMessage_TrialEnd:
		go s.control.endTrial(s, body.TrialEnd)
	case *peerpb.DaemonMessage_Departure:
		go s.control.commitDeparture(s, body.Departure)
	}
}

// handleHeartbeat records a heartbeat and the services that the daemon calls, and has it confirmed by writeLoop.
func (s *session) handleHeartbeat(heartbeat *peerpb.Heartbeat) {
	s.mu.Lock()
	if len(heartbeat.GetCalledServices()) != len(s.calledServices) {
		s.calledServices = heartbeat.GetCalledServices()
		s.servicesChanged = true
	}
	s.pendingHeartbeat = heartbeat
	s.revision.Store(heartbeat.GetRevision())
	s.outOfUse.Store(heartbeat.GetOutOfUseVersion())
	s.mu.Unlock()
	s.wake()
}

// requestGrants handles grant requests. It grants only while this instance holds the leader lease, so that no two
// leaders grant tokens at the same time.
func (s *session) requestGrants(now time.Time, asks *peerpb.Asks) {
	if !s.control.holdsLeaseAt(s.leadership.term, now) {
		return
	}
	var grants []limit.Grant
	anyHeld, conclusive := false, false
	s.leadership.ownerMu.Lock()
	for _, request := range asks.GetAsks() {
		grant, decided := s.leadership.owner.Request(now, s.holder, limit.GrantRequest{
			ID:        request.GetId(),
			Workspace: request.GetWorkspace(),
			Tokens:    request.GetTokens(),
			Waiting:   request.GetWaiting(),
		})
		if decided {
			grants = append(grants, grant)
			conclusive = conclusive || grant.Tokens > 0 || grant.RetryAfter > 0
		}
		anyHeld = anyHeld || !decided
	}
	holdOffOver := s.leadership.owner.HoldOffOver(now)
	s.leadership.ownerMu.Unlock()
	if anyHeld {
		s.control.signalHeldRequest()
	}
	// Answers without tokens look like those of a leader in its hold-off, which the daemon must not take for alive.
	if holdOffOver && !conclusive {
		s.send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Grants{Grants: &peerpb.Grants{}}})
	}
	s.sendGrants(grants)
}

func (s *session) sendGrants(grants []limit.Grant) {
	if len(grants) == 0 {
		return
	}
	message := &peerpb.Grants{}
	for _, grant := range grants {
		message.Grants = append(message.Grants, &peerpb.Grant{
			Id:            grant.ID,
			Workspace:     grant.Workspace,
			Tokens:        grant.Tokens,
			DurationUs:    grant.Duration.Microseconds(),
			RetryAfterUs:  grant.RetryAfter.Microseconds(),
			FallbackShare: grant.FallbackShare,
		})
	}
	s.send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Grants{Grants: message}})
}

// returnTokens returns unspent tokens of grants to their buckets and charges the buckets for fallback spending.
func (s *session) returnTokens(now time.Time, returns *peerpb.Returns) {
	s.leadership.ownerMu.Lock()
	defer s.leadership.ownerMu.Unlock()
	for _, returned := range returns.GetReturns() {
		s.leadership.owner.Return(now, s.holder, limit.Return{
			GrantID:   returned.GetGrantId(),
			Workspace: returned.GetWorkspace(),
			Tokens:    returned.GetTokens(),
		})
	}
	for _, spent := range returns.GetFallbackSpending() {
		s.leadership.owner.ChargeFallbackSpending(now, s.holder, limit.FallbackSpending{
			Workspace: spent.GetWorkspace(),
			Total:     spent.GetTotal(),
			Recent:    spent.GetRecent(),
			Period:    time.Duration(spent.GetPeriodUs()) * time.Microsecond,
		})
	}
}

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
	sessionQueue   = 1024
	sessionTimeout = 3 * time.Second
	attachTimeout  = 2 * time.Second
)

var errSlowDaemon = errors.New("daemon does not read")

// A session serves one daemon at the leader.
type session struct {
	control    *Control
	leadership *leadership
	daemon     string
	holder     string
	info       *peerpb.Attach
	stream     *peer.Stream
	out        chan *peerpb.ControlMessage
	woken      chan struct{}
	closed     chan struct{}
	closeOnce  sync.Once
	revision   atomic.Uint64
	mu         sync.Mutex
	services   []string
	newService bool
	confirm    *peerpb.Heartbeat
	sent       sentVersions
}

// A sentVersions tells what a session's daemon has been sent.
type sentVersions struct {
	revision   uint64
	epoch      uint64
	membership uint64
	quarantine uint64
	hasTargets bool
	control    []string
}

func newSession(c *Control, l *leadership, info *peerpb.Attach, stream *peer.Stream) *session {
	return &session{
		control:    c,
		leadership: l,
		daemon:     info.GetDaemon(),
		holder:     fmt.Sprintf("%s/%d", info.GetDaemon(), info.GetIncarnation()),
		info:       info,
		stream:     stream,
		out:        make(chan *peerpb.ControlMessage, sessionQueue),
		woken:      make(chan struct{}, 1),
		closed:     make(chan struct{}),
		sent: sentVersions{
			revision:   info.GetRevision(),
			epoch:      info.GetMembershipEpoch(),
			membership: info.GetMembershipVersion(),
		},
	}
}

func (s *session) close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.stream.Abort()
	})
}

func (s *session) wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// send queues a message; a daemon that does not read loses its session.
func (s *session) send(message *peerpb.ControlMessage) {
	select {
	case s.out <- message:
	default:
		s.control.logger.Warn().Err(errSlowDaemon).Str("daemon", s.daemon).Msg("control: session closed")
		s.close()
	}
}

// run serves the session until either side ends it.
func (s *session) run(ctx context.Context) error {
	defer s.close()
	defer context.AfterFunc(ctx, s.close)()
	attached := &peerpb.Attached{Leader: s.control.settings.Name, Term: s.leadership.term}
	attached.Cluster, attached.Generation = s.control.store.Cluster()
	attached.ControlAddresses = s.control.memberAddresses()
	s.sent.control = attached.ControlAddresses
	if err := s.stream.Send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Attached{Attached: attached}}); err != nil {
		return err
	}
	written := make(chan error, 1)
	go func() {
		err := s.writeAll()
		s.close()
		written <- err
	}()
	err := s.readAll()
	s.close()
	return errors.Join(err, <-written)
}

func (s *session) readAll() error {
	for {
		_ = s.stream.SetReadDeadline(time.Now().Add(sessionTimeout))
		message := &peerpb.DaemonMessage{}
		if err := s.stream.Receive(message); err != nil {
			return err
		}
		s.receive(boottime.Now(), message)
	}
}

func (s *session) receive(now time.Time, message *peerpb.DaemonMessage) {
	switch body := message.GetBody().(type) {
	case *peerpb.DaemonMessage_Heartbeat:
		s.heartbeat(body.Heartbeat)
	case *peerpb.DaemonMessage_Announce:
		s.announce(now, body.Announce)
	case *peerpb.DaemonMessage_Asks:
		s.ask(now, body.Asks)
	case *peerpb.DaemonMessage_Returns:
		s.takeBack(now, body.Returns)
	case *peerpb.DaemonMessage_Claim, *peerpb.DaemonMessage_ClaimRelease, *peerpb.DaemonMessage_ClaimFinish:
		s.claim(message)
	case *peerpb.DaemonMessage_Suspects:
		go s.control.reportSuspects(s, body.Suspects)
	case *peerpb.DaemonMessage_CrashRun:
		go s.control.reportRan(s, body.CrashRun)
	case *peerpb.DaemonMessage_Trial:
		go s.control.tryTrial(s, body.Trial)
	case *peerpb.DaemonMessage_TrialEnd:
		go s.control.endTrial(s, body.TrialEnd)
	}
}

func (s *session) heartbeat(heartbeat *peerpb.Heartbeat) {
	s.mu.Lock()
	if len(heartbeat.GetCalledServices()) != len(s.services) {
		s.services = heartbeat.GetCalledServices()
		s.newService = true
	}
	s.confirm = heartbeat
	s.revision.Store(heartbeat.GetRevision())
	s.mu.Unlock()
	s.wake()
}

// ask grants tokens only at a time at which this instance holds the leader lease, so that no other owner grants.
func (s *session) ask(now time.Time, asks *peerpb.Asks) {
	if !s.control.leadsAt(s.leadership.term, now) {
		return
	}
	var grants []limit.Grant
	held := false
	s.leadership.ownerMu.Lock()
	for _, ask := range asks.GetAsks() {
		grant, answered := s.leadership.owner.Request(now, s.holder, limit.GrantRequest{
			ID:        ask.GetId(),
			Workspace: ask.GetWorkspace(),
			Tokens:    ask.GetTokens(),
			Waiting:   ask.GetWaiting(),
		})
		if answered {
			grants = append(grants, grant)
		}
		held = held || !answered
	}
	opened := s.leadership.owner.HoldOffOver(now)
	s.leadership.ownerMu.Unlock()
	if held {
		s.control.holdAsk()
	}
	if held && opened && len(grants) == 0 {
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
			Id:           grant.ID,
			Workspace:    grant.Workspace,
			Tokens:       grant.Tokens,
			DurationUs:   grant.Duration.Microseconds(),
			RetryAfterUs: grant.RetryAfter.Microseconds(),
		})
	}
	s.send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Grants{Grants: message}})
}

func (s *session) takeBack(now time.Time, returns *peerpb.Returns) {
	s.leadership.ownerMu.Lock()
	defer s.leadership.ownerMu.Unlock()
	for _, part := range returns.GetReturns() {
		s.leadership.owner.Return(now, s.holder, limit.Return{
			GrantID:   part.GetGrantId(),
			Workspace: part.GetWorkspace(),
			Tokens:    part.GetTokens(),
		})
	}
}

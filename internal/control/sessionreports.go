package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/internal/control/controlpb"
	"sapphirespread.example/internal/membership/departure"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer/peerpb"
)

const (
	spreadCheckPeriod = 2 * time.Millisecond
	maxSpreadWait     = 800 * time.Millisecond
	stateLeft         = "left"
)

// handleAnnouncement updates the target registry with the state of a daemon's backend server.
func (s *session) handleAnnouncement(now time.Time, announcement *peerpb.Announce) {
	l := s.leadership
	phase := s.control.departurePhase(announcement.GetTarget(), message.DecodeStartTime(announcement.GetStartedAtUs()))
	l.targetMu.Lock()
	before := l.targets.Version()
	if announcement.GetState() == stateLeft || phase == departure.Left {
		l.targets.Leave(now, announcement.GetTarget(), announcement.GetIncarnation())
	} else if announced, err := message.DecodeTarget(announcement); err == nil {
		if phase == departure.Draining {
			announced.State = target.Draining
		}
		l.targets.Announce(now, announced)
	} else {
		s.control.logger.Warn().Err(err).Str("daemon", s.daemon).Msg("control: rejected invalid target announcement")
	}
	changed := l.targets.Version() != before
	l.targetMu.Unlock()
	if phase == departure.Left && announcement.GetState() != stateLeft {
		s.control.logger.Info().Str("daemon", s.daemon).Str("target", announcement.GetTarget()).Str("state", announcement.GetState()).Msg("control: announcement of a target that has left")
	}
	if changed {
		s.control.record("membership", "target "+announcement.GetTarget()+" of "+announcement.GetService()+" is "+announcement.GetState())
		l.wakeSessions()
	}
}

// departurePhase returns the recorded phase of the process of a target that started at startedAt.
func (c *Control) departurePhase(name string, startedAt time.Time) (phase departure.Phase) {
	c.store.Read(func() { phase = c.state.departures.Phase(name, startedAt) })
	return phase
}

// commitDeparture commits that a target drains or has left, and answers once that outlives this process. A departure
// without a start time is that of the process which announced itself last.
func (c *Control) commitDeparture(from *session, d *peerpb.Departure) {
	if d.GetStartedAtUs() == 0 {
		d.StartedAtUs = message.EncodeStartTime(from.leadership.startTimeOf(d.GetTarget()))
	}
	if d.GetStartedAtUs() != 0 {
		if _, err := c.proposeCommand(&controlpb.Command{Body: &controlpb.Command_Departure{Departure: d}}); err != nil {
			c.logger.Warn().Err(err).Str("daemon", from.daemon).Str("target", d.GetTarget()).Msg("control: could not commit a departure")
			return
		}
		c.record("membership", "departure of "+d.GetTarget()+" recorded")
	}
	answer := &peerpb.DepartureRecorded{Id: d.GetId()}
	from.send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_DepartureRecorded{DepartureRecorded: answer}})
}

// enqueueClaim queues a claim step for the next batch.
func (s *session) enqueueClaim(message *peerpb.DaemonMessage) {
	queued := queuedStep{step: &controlpb.ClaimStep{}}
	switch body := message.GetBody().(type) {
	case *peerpb.DaemonMessage_Claim:
		queued.step.Body = &controlpb.ClaimStep_Request{Request: body.Claim}
		queued.answer = func(answer *peerpb.ClaimAnswer) {
			s.send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Claim{Claim: answer}})
		}
	case *peerpb.DaemonMessage_ClaimRelease:
		queued.step.Body = &controlpb.ClaimStep_Release{Release: body.ClaimRelease}
	case *peerpb.DaemonMessage_ClaimFinish:
		queued.step.Body = &controlpb.ClaimStep_Finish{Finish: body.ClaimFinish}
	}
	s.control.batcher.add(queued)
}

// commitSuspects commits the suspects of a crash, and answers once they were sent to all daemons or maxSpreadWait has
// passed.
func (c *Control) commitSuspects(from *session, suspects *peerpb.Suspects) {
	command := &controlpb.Command{Body: &controlpb.Command_Suspects{Suspects: suspects}}
	if _, err := c.proposeCommand(command); err != nil {
		c.logger.Warn().Err(err).Str("target", suspects.GetTarget()).Msg("control: could not commit crash suspects")
		return
	}
	c.record("quarantine", "crash of "+suspects.GetTarget()+" reported")
	c.awaitQuarantineSpread(from.leadership)
	answer := &peerpb.SuspectsSpread{Id: suspects.GetId()}
	from.send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_SuspectsSpread{SuspectsSpread: answer}})
}

// awaitQuarantineSpread waits until all sessions have sent the current quarantine, for at most maxSpreadWait.
func (c *Control) awaitQuarantineSpread(l *leadership) {
	var version uint64
	c.store.Read(func() { version = c.state.quarantine.Version() })
	l.wakeSessions()
	ticker := time.NewTicker(spreadCheckPeriod)
	defer ticker.Stop()
	for deadline := time.Now().Add(maxSpreadWait); time.Now().Before(deadline); <-ticker.C {
		if allHaveQuarantine(l.allSessions(), version) {
			return
		}
	}
}

// allHaveQuarantine reports whether all sessions have sent the given quarantine version.
func allHaveQuarantine(sessions []*session, version uint64) bool {
	for _, s := range sessions {
		if !s.hasQuarantine(version) {
			return false
		}
	}
	return true
}

// commitCompletion commits that a suspect request completed without a crash.
func (c *Control) commitCompletion(from *session, completion *peerpb.CrashRun) {
	c.proposeQuarantine(from, &controlpb.Command{Body: &controlpb.Command_Ran{Ran: completion}})
}

// endTrial commits that the trial of a suspect request ended without a result.
func (c *Control) endTrial(from *session, end *peerpb.TrialEnd) {
	c.proposeQuarantine(from, &controlpb.Command{Body: &controlpb.Command_TrialEnd{TrialEnd: end}})
}

// requestTrial commits a trial of a suspect request and answers whether it was granted.
func (c *Control) requestTrial(from *session, request *peerpb.TrialRequest) {
	granted := c.proposeQuarantine(from, &controlpb.Command{Body: &controlpb.Command_Trial{Trial: request}})
	answer := &peerpb.TrialAnswer{Id: request.GetId(), Granted: granted}
	from.send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Trial{Trial: answer}})
}

// proposeQuarantine commits a quarantine command, wakes the sessions, and reports whether the command took effect.
func (c *Control) proposeQuarantine(from *session, command *controlpb.Command) bool {
	result, err := c.proposeCommand(command)
	if err != nil {
		c.logger.Warn().Err(err).Str("daemon", from.daemon).Msg("control: could not update quarantine")
		return false
	}
	from.leadership.wakeSessions()
	return result.GetDone()
}

// proposeCommand commits a command through the log and returns its result.
func (c *Control) proposeCommand(command *controlpb.Command) (*controlpb.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	encoded, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	answer, err := c.store.Propose(ctx, encoded)
	if err != nil {
		return nil, err
	}
	result := &controlpb.Result{}
	if err := proto.Unmarshal(answer, result); err != nil {
		return nil, err
	}
	return result, nil
}

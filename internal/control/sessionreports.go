package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/internal/control/controlpb"
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
	l.targetMu.Lock()
	before := l.targets.Version()
	if announcement.GetState() == stateLeft {
		l.targets.Leave(now, announcement.GetTarget(), announcement.GetIncarnation())
	} else if announced, err := message.DecodeTarget(announcement); err == nil {
		l.targets.Announce(now, announced)
	} else {
		s.control.logger.Warn().Err(err).Str("daemon", s.daemon).Msg("control: rejected invalid target announcement")
	}
	changed := l.targets.Version() != before
	l.targetMu.Unlock()
	if changed {
		s.control.record("membership", "target "+announcement.GetTarget()+" of "+announcement.GetService()+" is "+announcement.GetState())
		l.wakeSessions()
	}
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

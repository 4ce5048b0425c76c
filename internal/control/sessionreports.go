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
	spreadBound       = 800 * time.Millisecond
	stateLeft         = "left"
)

// announce takes the word of a daemon on its backend server.
func (s *session) announce(now time.Time, said *peerpb.Announce) {
	l := s.leadership
	l.targetMu.Lock()
	before := l.targets.Version()
	if said.GetState() == stateLeft {
		l.targets.Leave(now, said.GetTarget(), said.GetIncarnation())
	} else if announced, err := message.DecodeTarget(said); err == nil {
		l.targets.Announce(now, announced)
	} else {
		s.control.logger.Warn().Err(err).Str("daemon", s.daemon).Msg("control: announcement refused")
	}
	changed := l.targets.Version() != before
	l.targetMu.Unlock()
	if changed {
		s.control.record("membership", "target "+said.GetTarget()+" of "+said.GetService()+" is "+said.GetState())
		l.wake()
	}
}

// claim queues a step on claims for the next batch.
func (s *session) claim(message *peerpb.DaemonMessage) {
	queued := queuedClaim{step: &controlpb.ClaimStep{}}
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

// reportSuspects commits the suspects of a crash and answers once all daemons have been sent them.
func (c *Control) reportSuspects(from *session, suspects *peerpb.Suspects) {
	command := &controlpb.Command{Body: &controlpb.Command_Suspects{Suspects: suspects}}
	if _, err := c.proposeCommand(command); err != nil {
		c.logger.Warn().Err(err).Str("target", suspects.GetTarget()).Msg("control: suspects not committed")
		return
	}
	c.record("quarantine", "crash of "+suspects.GetTarget()+" reported")
	c.awaitSpread(from.leadership)
	answer := &peerpb.SuspectsSpread{Id: suspects.GetId()}
	from.send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_SuspectsSpread{SuspectsSpread: answer}})
}

// awaitSpread returns once all sessions have sent the present quarantine, or the bound has passed.
func (c *Control) awaitSpread(l *leadership) {
	var version uint64
	c.store.Read(func() { version = c.state.quarantine.Version() })
	l.wake()
	ticker := time.NewTicker(spreadCheckPeriod)
	defer ticker.Stop()
	for deadline := time.Now().Add(spreadBound); time.Now().Before(deadline); <-ticker.C {
		if spread(l.all(), version) {
			return
		}
	}
}

func spread(sessions []*session, version uint64) bool {
	for _, s := range sessions {
		if !s.hasQuarantine(version) {
			return false
		}
	}
	return true
}

// reportRan commits that a suspect ran whole.
func (c *Control) reportRan(from *session, ran *peerpb.CrashRun) {
	c.proposeQuarantine(from, &controlpb.Command{Body: &controlpb.Command_Ran{Ran: ran}})
}

// endTrial commits that a suspect's trial ended without a result.
func (c *Control) endTrial(from *session, end *peerpb.TrialEnd) {
	c.proposeQuarantine(from, &controlpb.Command{Body: &controlpb.Command_TrialEnd{TrialEnd: end}})
}

// tryTrial commits a trial of a suspect and tells the daemon whether it was granted.
func (c *Control) tryTrial(from *session, request *peerpb.TrialRequest) {
	granted := c.proposeQuarantine(from, &controlpb.Command{Body: &controlpb.Command_Trial{Trial: request}})
	answer := &peerpb.TrialAnswer{Id: request.GetId(), Granted: granted}
	from.send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Trial{Trial: answer}})
}

// proposeQuarantine commits a command on the quarantine and reports whether it did what was asked.
func (c *Control) proposeQuarantine(from *session, command *controlpb.Command) bool {
	result, err := c.proposeCommand(command)
	if err != nil {
		c.logger.Warn().Err(err).Str("daemon", from.daemon).Msg("control: quarantine not changed")
		return false
	}
	from.leadership.wake()
	return result.GetDone()
}

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

package daemon

import (
	"context"
	"errors"
	"sync"

	"sapphirespread.example/claim"
	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/quarantine"
)

var errNoControl = errors.New("no control instance answers")

// pendingRequests maps the IDs of requests that await an answer from control to their waiters.
type pendingRequests struct {
	mu      sync.Mutex
	waiters map[uint64]chan *peerpb.ControlMessage
}

func newPendingRequests() pendingRequests {
	return pendingRequests{waiters: make(map[uint64]chan *peerpb.ControlMessage)}
}

func (p *pendingRequests) add(id uint64) chan *peerpb.ControlMessage {
	waiter := make(chan *peerpb.ControlMessage, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters[id] = waiter
	return waiter
}

func (p *pendingRequests) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, id)
}

func (p *pendingRequests) deliver(id uint64, message *peerpb.ControlMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiter := p.waiters[id]
	if waiter != nil {
		delete(p.waiters, id)
		waiter <- message
	}
}

// failAll completes all pending requests with nil because the session that would carry their answers is lost.
func (p *pendingRequests) failAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, waiter := range p.waiters {
		delete(p.waiters, id)
		waiter <- nil
	}
}

// roundTrip sends message and waits for the answer with the same ID. It returns errNoControl if the message can't be
// queued or the session is lost.
func (l *link) roundTrip(ctx context.Context, id uint64, message *peerpb.DaemonMessage) (*peerpb.ControlMessage, error) {
	waiter := l.pending.add(id)
	defer l.pending.remove(id)
	if !l.enqueue(message) {
		return nil, errNoControl
	}
	select {
	case answer := <-waiter:
		if answer == nil {
			return nil, errNoControl
		}
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// claim requests the right to run a request from the control quorum. It returns the claim's state and, if one is
// stored, the outcome of an earlier run.
func (l *link) claim(ctx context.Context, attempt *claim.Attempt) (claim.State, *claim.Outcome, error) {
	if l.currentLeader() == "" {
		return "", nil, errNoControl
	}
	id := l.lastID.Add(1)
	hash := attempt.RequestHash()
	request := &peerpb.ClaimRequest{Id: id, Key: message.EncodeClaimKey(attempt.Key()), Attempt: attempt.Name(), RequestHash: hash[:]}
	answer, err := l.roundTrip(ctx, id, &peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Claim{Claim: request}})
	if err != nil {
		return "", nil, err
	}
	state := claim.State(answer.GetClaim().GetState())
	encoded := answer.GetClaim().GetOutcome()
	if encoded == nil {
		return state, nil, nil
	}
	outcome := message.DecodeOutcome(encoded)
	return state, &outcome, nil
}

// finishClaim reports the outcome of a claimed run to control.
func (l *link) finishClaim(attempt *claim.Attempt, outcome claim.Outcome) {
	finish := &peerpb.ClaimFinish{Key: message.EncodeClaimKey(attempt.Key()), Attempt: attempt.Name(), Outcome: message.EncodeOutcome(outcome)}
	l.enqueue(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_ClaimFinish{ClaimFinish: finish}})
}

// releaseClaim releases a claim whose request has not run and never will.
func (l *link) releaseClaim(attempt *claim.Attempt) {
	release := &peerpb.ClaimRelease{Key: message.EncodeClaimKey(attempt.Key()), Attempt: attempt.Name()}
	l.enqueue(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_ClaimRelease{ClaimRelease: release}})
}

// reportSuspects reports the suspects of a crash to control, waits until they have been distributed to all daemons or
// ctx ends, and reports whether they have.
func (l *link) reportSuspects(ctx context.Context, crash, target string, suspects []quarantine.Fingerprint) bool {
	id := l.lastID.Add(1)
	report := &peerpb.Suspects{Id: id, Crash: crash, Target: target}
	for _, fingerprint := range suspects {
		report.Fingerprints = append(report.Fingerprints, fingerprint[:])
	}
	message := &peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Suspects{Suspects: report}}
	_, err := l.roundTrip(ctx, id, message)
	if err != nil {
		l.daemon.logger.Warn().Err(err).Str("target", target).Msg("link: suspects not distributed in time")
	}
	return err == nil
}

// reportCompletion reports to control that a suspect ran to completion at target.
func (l *link) reportCompletion(fingerprint quarantine.Fingerprint, target string) {
	completion := &peerpb.CrashRun{Fingerprint: fingerprint[:], Target: target}
	l.enqueue(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_CrashRun{CrashRun: completion}})
}

// requestTrial requests the exclusive right to run a suspect at target and reports whether control granted it.
func (l *link) requestTrial(ctx context.Context, fingerprint quarantine.Fingerprint, target string) bool {
	if l.currentLeader() == "" {
		return false
	}
	id := l.lastID.Add(1)
	request := &peerpb.TrialRequest{Id: id, Fingerprint: fingerprint[:], Target: target}
	answer, err := l.roundTrip(ctx, id, &peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Trial{Trial: request}})
	if err != nil {
		l.endTrial(fingerprint, target)
		return false
	}
	return answer.GetTrial().GetGranted()
}

// endTrial reports to control that a trial ended without a result.
func (l *link) endTrial(fingerprint quarantine.Fingerprint, target string) {
	end := &peerpb.TrialEnd{Fingerprint: fingerprint[:], Target: target}
	l.enqueue(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_TrialEnd{TrialEnd: end}})
}

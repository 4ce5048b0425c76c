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

// A pendingAnswers holds the requests to control whose answers are awaited.
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

// failAll ends all waits, as the session that would carry the answers is lost.
func (p *pendingRequests) failAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, waiter := range p.waiters {
		delete(p.waiters, id)
		waiter <- nil
	}
}

// exchange sends message and waits for the answer that carries id.
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

// claim asks the control quorum for the right to run a request.
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

// finishClaim stores the outcome of a claimed run.
func (l *link) finishClaim(attempt *claim.Attempt, outcome claim.Outcome) {
	finish := &peerpb.ClaimFinish{Key: message.EncodeClaimKey(attempt.Key()), Attempt: attempt.Name(), Outcome: message.EncodeOutcome(outcome)}
	l.enqueue(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_ClaimFinish{ClaimFinish: finish}})
}

// releaseClaim gives a claim back whose request did not run and will not.
func (l *link) releaseClaim(attempt *claim.Attempt) {
	release := &peerpb.ClaimRelease{Key: message.EncodeClaimKey(attempt.Key()), Attempt: attempt.Name()}
	l.enqueue(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_ClaimRelease{ClaimRelease: release}})
}

// reportSuspects returns once the suspects of a crash have been sent to all daemons, or ctx ends, and reports whether
// they have.
func (l *link) reportSuspects(ctx context.Context, crash, target string, suspects []quarantine.Fingerprint) bool {
	id := l.lastID.Add(1)
	report := &peerpb.Suspects{Id: id, Crash: crash, Target: target}
	for _, fingerprint := range suspects {
		report.Fingerprints = append(report.Fingerprints, fingerprint[:])
	}
	message := &peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Suspects{Suspects: report}}
	_, err := l.roundTrip(ctx, id, message)
	if err != nil {
		l.daemon.logger.Warn().Err(err).Str("target", target).Msg("link: suspects not spread in time")
	}
	return err == nil
}

// reportRan reports that a suspect ran to its end at target.
func (l *link) reportCompletion(fingerprint quarantine.Fingerprint, target string) {
	completion := &peerpb.CrashRun{Fingerprint: fingerprint[:], Target: target}
	l.enqueue(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_CrashRun{CrashRun: completion}})
}

// askTrial asks to run a suspect at target, where it then runs nowhere else.
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

// endTrial reports that a trial ended without a result.
func (l *link) endTrial(fingerprint quarantine.Fingerprint, target string) {
	end := &peerpb.TrialEnd{Fingerprint: fingerprint[:], Target: target}
	l.enqueue(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_TrialEnd{TrialEnd: end}})
}

package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/refusal"
	"sapphirespread.example/retry"
)

// membershipTimeout is the maximum wait for the targets of a service that was not known before.
const membershipTimeout = time.Second

// dispatch sends c to targets of its service until one answers or no retry is allowed. If the request may have run, the
// error is that of the last attempt after which it may have run, whatever the later attempts returned.
func (d *Daemon) dispatch(ctx context.Context, c *call) (*answer, *attemptError) {
	d.link.awaitTargets(ctx, c.service)
	if c.repeat {
		d.budget(c.service).Charge(time.Now())
	}
	var tried []string
	var unknownOutcome *attemptError // last failure after which the request may have run
	for {
		chosen, refused := d.choose(c, tried)
		if refused != nil {
			return nil, cmp.Or(unknownOutcome, refused)
		}
		if refused := d.stopTime.check(c, !d.refusingCallers.Load()); refused != nil {
			return nil, cmp.Or(unknownOutcome, refused)
		}
		sentAt := time.Now()
		answer, failed := d.attempt(ctx, c, chosen, len(tried) > 0)
		c.history.addAttempt(attemptRecord{target: chosen.Target.Name, shedShare: chosen.ShedShare, outcome: describeOutcome(answer, failed), duration: time.Since(sentAt)})
		if failed == nil {
			return answer, nil
		}
		if failed.crashedTarget != "" {
			d.quarantineLocally(c)
		}
		if !failed.notRun {
			unknownOutcome = failed
		}
		if !d.reserveRetry(ctx, c, failed) {
			return nil, cmp.Or(unknownOutcome, failed)
		}
		tried = append(tried, chosen.Target.Name)
		d.counters.retries.Add(1)
		if !sleep(ctx, retry.Backoff(newRandom(), len(tried))) {
			return nil, cmp.Or(unknownOutcome, failed)
		}
	}
}

// describeOutcome returns the status or the error of an attempt for the log.
func describeOutcome(got *answer, failed *attemptError) string {
	if failed != nil {
		return failed.Error()
	}
	return strconv.Itoa(got.status)
}

// sleep waits for duration and returns false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// checkShedding refuses c if it would be shed before it is sent, so that it costs its workspace no token.
func (d *Daemon) checkShedding(c *call) *attemptError {
	if refused := d.scarce.check(c); refused != nil {
		return refused
	}
	_, refused := d.choose(c, nil)
	if refused != nil && refused.kind == refusal.Overloaded {
		return refused
	}
	return nil
}

// choose returns the target for the next attempt of c, and avoids the tried ones if possible.
func (d *Daemon) choose(c *call, tried []string) (target.Choice, *attemptError) {
	now := time.Now()
	origin := c.origin()
	if d.scarce.enabled() {
		if c.nested {
			origin = origin.Begun()
		}
	} else {
		downstreamShare := d.downstream.reportedLevel(c.callee()).ShareAt(now, origin)
		if origin.ShedBy(downstreamShare) {
			return target.Choice{}, refuse(refusal.Overloaded, "a deeper service sheds it")
		}
		c.shedShare = max(c.shedShare, downstreamShare)
	}
	chosen, found, shed := d.chooser.Choose(now, rand.Uint64(), c.service, origin, tried)
	if !found && len(tried) > 0 && !shed {
		chosen, found, shed = d.chooser.Choose(now, rand.Uint64(), c.service, origin, nil)
	}
	if shed {
		return chosen, refuse(refusal.Overloaded, "shed before it was sent")
	}
	if !found {
		return chosen, refuse(refusal.NoTarget, "service "+c.service)
	}
	return chosen, nil
}

// attempt sends c once to the chosen target with about half of the remaining allowance of extra attempts. extra reports
// that it is not the first attempt.
func (d *Daemon) attempt(ctx context.Context, c *call, chosen target.Choice, extra bool) (*answer, *attemptError) {
	reservation := c.allowance.Reserve((c.allowance.Left() + 1) / 2)
	a := &attempt{daemon: d, call: c, reservation: reservation, target: chosen.Target, sentAt: time.Now()}
	child := c.child(d.nextCallID(), reservation.Size())
	child.shedShare = max(c.shedShare, chosen.ShedShare)
	child.repeat = c.repeat || extra
	child.deadline = d.stopTime.limit(c.deadline)
	d.chooser.Sent(a.sentAt, chosen.Target.Name)
	d.liveness.sent(a.sentAt, chosen.Target.Name, chosen.Target.Peer)
	var got *answer
	var failed *attemptError
	if d.isOwn(chosen.Target) {
		got, failed = d.runLocal(ctx, child, chosen.Target.Name, chosen.Target.Incarnation, a.handleReport)
	} else {
		got, failed = d.runRemote(ctx, child, chosen.Target, a.handleReport)
	}
	a.handleResult(got, failed)
	return got, failed
}

// child returns the copy of c that is sent to one target, with its own allowance of extra attempts.
func (c *call) child(id uint64, allowance int) *call {
	return &call{
		id:             id,
		rootID:         c.rootID,
		rootIDHash:     c.rootIDHash,
		workspace:      c.workspace,
		rootWorkspace:  c.rootWorkspace,
		share:          c.share,
		route:          c.route,
		service:        c.service,
		priority:       c.priority,
		deadline:       c.deadline,
		objective:      c.objective,
		repeatable:     c.repeatable,
		needsClaim:     c.needsClaim,
		nested:         c.nested,
		callerService:  c.callerService,
		depth:          c.depth,
		allowance:      retry.NewAllowance(allowance),
		idempotencyKey: c.idempotencyKey,
		requestHash:    c.requestHash,
		fingerprint:    c.fingerprint,
		head:           c.head,
		body:           c.body,
	}
}

// reserveRetry reports whether c may be sent again after failed. If so, it takes one extra attempt from the allowance
// and one retry from the budget of the service.
func (d *Daemon) reserveRetry(ctx context.Context, c *call, failed *attemptError) bool {
	if ctx.Err() != nil || !c.body.sendable() || !retryable(c, failed) {
		return false
	}
	if c.allowance.Take(1) == 0 {
		return false
	}
	if !d.budget(c.service).Withdraw(time.Now()) {
		c.allowance.Return(1)
		return false
	}
	return true
}

// retryable reports whether c can be sent to another target without a risk that a non-repeatable request runs twice.
func retryable(c *call, failed *attemptError) bool {
	if failed.crashedTarget != "" {
		return false
	}
	switch failed.kind {
	case refusal.TargetUnreachable, refusal.Draining, refusal.Overloaded:
		return failed.notRun
	case refusal.TargetFailed, refusal.AnswerCut:
		return c.repeatable
	default:
		return false
	}
}

// An attempt sends a call to one target once.
type attempt struct {
	daemon      *Daemon
	call        *call
	reservation *retry.Reservation
	target      target.Target
	sentAt      time.Time
	mu          sync.Mutex
	report      callReport
	reported    bool
	hasResult   bool
	kind        target.AnswerKind
}

// handleReport records the target's report at the end of the call and returns the unused allowance.
func (a *attempt) handleReport(report callReport) {
	a.reservation.Release(report.unusedAllowance)
	a.daemon.applyPeerDomains(report.outOfUse, a.target.Daemon)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.report = report
	a.reported = true
	a.observeIfComplete()
}

// handleResult records the result of the attempt: an answer, whose body may not have been read yet, or an error.
func (a *attempt) handleResult(got *answer, failed *attemptError) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kind = observationKind(got, failed)
	a.hasResult = true
	a.observeIfComplete()
}

// observeIfComplete passes the observation to the chooser once both the report and the result are known. The caller
// must hold a.mu.
func (a *attempt) observeIfComplete() {
	if !a.reported || !a.hasResult {
		return
	}
	now := time.Now()
	a.daemon.liveness.ended(now, a.target.Name)
	var transit time.Duration
	if handling := a.report.handlingTime; handling > 0 {
		transit = now.Sub(a.sentAt) - handling
		a.daemon.returnTimes.observe(now, a.target.Peer, transit)
	}
	a.daemon.downstream.recordLevel(a.call.callee(), a.report.downstream)
	a.daemon.scarce.recordReport(now, a)
	if a.kind == target.OK {
		a.daemon.budget(a.call.service).Success(now)
		a.daemon.stopTime.durations.Observe(a.call.callee(), now.Sub(a.sentAt))
	}
	a.daemon.chooser.Answered(now, a.target.Name, target.Observation{
		Latency:  now.Sub(a.sentAt),
		Kind:     a.kind,
		Level:    a.report.level,
		Draining: a.report.draining,
		Pace:     a.report.pace,
		Load:     a.report.load,
		Transit:  transit,

		Objective:   a.call.objective,
		Incarnation: a.target.Incarnation,
	})
}

// observationKind classifies the result of an attempt for the chooser.
func observationKind(got *answer, failed *attemptError) target.AnswerKind {
	switch {
	case failed == nil && got.status >= http.StatusInternalServerError:
		return target.Errored
	case failed == nil:
		return target.OK
	case failed.kind == refusal.TargetUnreachable || failed.kind == refusal.NoTarget:
		return target.Unreachable
	case failed.notRun || failed.kind == refusal.Cancelled:
		return target.Refused
	default:
		return target.Failed
	}
}

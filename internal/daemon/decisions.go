package daemon

import (
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/trace"
	"sapphirespread.example/limit"
	"sapphirespread.example/priority"
	"sapphirespread.example/quarantine"
)

// admission is implemented by priority.Admission and its recorder.
type admission interface {
	Offer(now time.Time, r priority.Request) []priority.Verdict
	Done(now time.Time, id uint64, result priority.Result) []priority.Verdict
	Cancel(now time.Time, id uint64) []priority.Verdict
	Tick(now time.Time) []priority.Verdict
	NextTick(now time.Time) time.Time
	Announce(now time.Time, slots int)
	Level(now time.Time) priority.Level
	Stats(now time.Time) priority.Stats
}

// table is implemented by target.Table and its recorder.
type table interface {
	Version() (epoch, version uint64)
	Apply(epoch, from, to uint64, full bool, changes []target.Change) error
}

// chooser is implemented by target.Chooser and its recorder.
type chooser interface {
	Choose(now time.Time, random uint64, service string, origin priority.Origin, exclude []string) (choice target.Choice, ok, shed bool)
	Sent(now time.Time, name string)
	Answered(now time.Time, name string, o target.Observation)
	RecordHeartbeat(now time.Time, name string)
	SetOutOfUse(domains []string)
	Level(now time.Time, service string) priority.Level
	Routing() map[string]target.RoutingStats
}

// holder is implemented by limit.Holder and its recorder.
type holder interface {
	Spend(now time.Time, workspace string, tokens int64) bool
	Wait(now time.Time, workspace string)
	Unwait(workspace string)
	GrantRequests(now time.Time) []limit.GrantRequest
	Accept(now time.Time, g limit.Grant) bool
	RetryAfter(workspace string) time.Duration
	CollectReturns(now time.Time) []limit.Return
	ReturnAll() []limit.Return
	RecordHeartbeat(now time.Time)
	SetPressed(workspaces []string)
	Disconnect(now time.Time)
	FallbackTokens() int64
	CollectFallbackSpending(now time.Time) []limit.FallbackSpending
}

// retryBudget is implemented by retry.Budget and its recorder.
type retryBudget interface {
	Success(now time.Time)
	Withdraw(now time.Time) bool
	Charge(now time.Time)
}

// quarantineList is implemented by quarantine.List and its recorder.
type quarantineList interface {
	Apply(version uint64, full bool, entries []quarantine.Entry, cleared []quarantine.Fingerprint)
	Reset()
	Version() uint64
	State(now time.Time, fp quarantine.Fingerprint) quarantine.State
	QuarantineLocally(now time.Time, fp quarantine.Fingerprint, until time.Time)
}

// fingerprintTracker is implemented by quarantine.InFlight and its recorder.
type fingerprintTracker interface {
	Start(fp quarantine.Fingerprint) quarantine.Run
	End(run quarantine.Run) bool
	Crash() []quarantine.Fingerprint
}

// WithRecorder records the inputs and the results of the daemon's decision packages in recorder.
func WithRecorder(recorder *trace.Recorder) Option {
	return func(d *Daemon) { d.recorder = recorder }
}

// initDecisions creates the instances of the decision packages, and wraps them if the daemon has a recorder.
func (d *Daemon) initDecisions() {
	targets := target.NewTable(target.WithTableEvents(d.logTargetChange))
	selector := target.NewChooser(targets, target.WithFailureDomain(d.settings.FailureDomain), target.WithDaemon(d.settings.Name), target.WithCrossDomainCost(d.settings.FarCost), target.WithSpillEvents(d.logSpill))
	d.pace = newPaceGate(d)
	d.ownAdmission = priority.NewAdmission(append(d.scarce.admissionOptions(), priority.WithGate(d.pace.pacer))...)
	tokens := limit.NewHolder(limit.WithFallbackSpending(d.settings.Coasting), limit.WithFallbackEvents(d.logFallback))
	list, inFlight := quarantine.NewList(), quarantine.NewInFlight()
	if d.recorder == nil {
		d.table, d.chooser, d.holder = targets, selector, tokens
		d.quarantine, d.inFlightRuns = list, inFlight
		d.admitter = newAdmitter(d.ownAdmission)
		return
	}
	recordedTargets := d.recorder.Targets(targets, selector)
	recordedQuarantine := d.recorder.Quarantine(list, inFlight)
	d.quarantine, d.inFlightRuns = recordedQuarantine, recordedQuarantine
	d.table, d.chooser, d.holder = recordedTargets, recordedTargets, d.recorder.Holder(tokens)
	d.admitter = newAdmitter(d.recorder.Admission(d.ownAdmission))
}

// logTargetChange logs a change of a target in the daemon's target table.
func (d *Daemon) logTargetChange(e target.TableEvent) {
	d.logger.Info().Str("change", string(e.Kind)).Str("target", e.Target.Name).Uint64("incarnation", e.Target.Incarnation).
		Str("service", e.Target.Service).Str("state", string(e.Target.State)).Int("slots", e.Target.Slots).
		Uint64("epoch", e.Epoch).Uint64("version", e.Version).Msg("daemon: target changed")
}

// logFallback logs that a workspace begins to spend at its recent rate because the leader grants no tokens.
func (d *Daemon) logFallback(e limit.FallbackEvent) {
	d.logger.Info().Str("workspace", e.Workspace).Int64("silence-ms", e.Silence.Milliseconds()).Bool("disconnected", e.Disconnected).
		Float64("rate", e.Rate).Bool("pressed", e.Pressed).Int64("spent-before", e.Spent).Msg("daemon: spends without the leader")
}

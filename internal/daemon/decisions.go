package daemon

import (
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/trace"
	"sapphirespread.example/limit"
	"sapphirespread.example/priority"
	"sapphirespread.example/quarantine"
)

// An admission is a priority.Admission, or one that is recorded.
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

// A table is a target.Table, or one that is recorded.
type table interface {
	Version() (epoch, version uint64)
	Apply(epoch, from, to uint64, whole bool, changes []target.Change) error
}

// A chooser is a target.Chooser, or one that is recorded.
type chooser interface {
	Choose(now time.Time, random uint64, service string, origin priority.Origin, exclude []string) (choice target.Choice, ok, shed bool)
	Sent(now time.Time, name string)
	Answered(now time.Time, name string, o target.Observation)
	RecordHeartbeat(now time.Time, name string)
	Level(now time.Time, service string) priority.Level
}

// A holder is a limit.Holder, or one that is recorded.
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
	Disconnect(now time.Time)
}

// A retryBudget is a retry.Budget, or one that is recorded.
type retryBudget interface {
	Success(now time.Time)
	Withdraw(now time.Time) bool
}

// A quarantineList is a quarantine.List, or one that is recorded.
type quarantineList interface {
	Apply(version uint64, whole bool, entries []quarantine.Entry, cleared []quarantine.Fingerprint)
	Reset()
	Version() uint64
	State(now time.Time, fp quarantine.Fingerprint) quarantine.State
	QuarantineLocally(now time.Time, fp quarantine.Fingerprint, until time.Time)
}

// A watch is a quarantine.Watch, or one that is recorded.
type fingerprintTracker interface {
	Start(fp quarantine.Fingerprint) quarantine.Run
	End(run quarantine.Run) bool
	Crash() []quarantine.Fingerprint
}

// WithRecorder makes recorder keep what the daemon's decision packages are asked and decide.
func WithRecorder(recorder *trace.Recorder) Option {
	return func(d *Daemon) { d.recorder = recorder }
}

// setDecisions makes the decision packages, which are recorded where there is a recorder.
func (d *Daemon) initDecisions() {
	targets := target.NewTable(target.WithTableEvents(d.logTargetChange))
	selector := target.NewChooser(targets, target.WithFailureDomain(d.settings.FailureDomain), target.WithDaemon(d.settings.Name), target.WithCrossDomainCost(d.settings.FarCost))
	admissionControl := priority.NewAdmission()
	tokens := limit.NewHolder(limit.WithFallbackSpending(d.settings.Coasting))
	list, inFlight := quarantine.NewList(), quarantine.NewWatch()
	if d.recorder == nil {
		d.table, d.chooser, d.holder = targets, selector, tokens
		d.quarantine, d.watch = list, inFlight
		d.admitter = newAdmitter(admissionControl)
		return
	}
	recordedTargets := d.recorder.Targets(targets, selector)
	recordedQuarantine := d.recorder.Quarantine(list, inFlight)
	d.quarantine, d.watch = recordedQuarantine, recordedQuarantine
	d.table, d.chooser, d.holder = recordedTargets, recordedTargets, d.recorder.Holder(tokens)
	d.admitter = newAdmitter(d.recorder.Admission(admissionControl))
}

// tableChanged logs what the daemon came to believe of a target.
func (d *Daemon) logTargetChange(e target.TableEvent) {
	d.logger.Info().Str("change", string(e.Kind)).Str("target", e.Target.Name).Uint64("incarnation", e.Target.Incarnation).
		Str("service", e.Target.Service).Str("state", string(e.Target.State)).Int("slots", e.Target.Slots).
		Uint64("epoch", e.Epoch).Uint64("version", e.Version).Msg("daemon: target known anew")
}

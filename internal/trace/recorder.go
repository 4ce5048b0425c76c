package trace

import (
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/limit"
	"sapphirespread.example/priority"
	"sapphirespread.example/quarantine"
)

// DefaultBound is the default number of steps that a recorder keeps for each decision package.
const DefaultBound = 1 << 16

// A Recorder records the decisions of one daemon. It stores no keys, bodies or headers.
type Recorder struct {
	start      time.Time
	admission  *Stream[AdmissionStep]
	targets    *Stream[TargetStep]
	holder     *Stream[HolderStep]
	budgets    *budgetStream
	quarantine *Stream[QuarantineStep]
}

// NewRecorder returns a recorder that keeps the first maxSteps steps of each decision package, with times relative to
// start.
func NewRecorder(start time.Time, maxSteps int) *Recorder {
	return &Recorder{
		start:      start,
		admission:  newStream[AdmissionStep](maxSteps),
		targets:    newStream[TargetStep](maxSteps),
		holder:     newStream[HolderStep](maxSteps),
		budgets:    &budgetStream{Stream: newStream[BudgetStep](maxSteps), start: start},
		quarantine: newStream[QuarantineStep](maxSteps),
	}
}

// Admission wraps inner and records its calls.
func (r *Recorder) Admission(inner *priority.Admission) *Admission {
	return &Admission{Admission: inner, start: r.start, stream: r.admission}
}

// Targets wraps table and its chooser and records their calls.
func (r *Recorder) Targets(table *target.Table, chooser *target.Chooser) *Targets {
	return &Targets{Table: table, chooser: chooser, start: r.start, stream: r.targets}
}

// Holder wraps inner and records its calls.
func (r *Recorder) Holder(inner *limit.Holder) *Holder {
	return &Holder{Holder: inner, start: r.start, stream: r.holder}
}

// Budget creates the retry budget of a service and records its settings and calls.
func (r *Recorder) Budget(now time.Time, service string, share, minimum float64) *Budget {
	return r.budgets.newBudget(now, service, share, minimum)
}

// Quarantine wraps list and inFlight and records their calls.
func (r *Recorder) Quarantine(list *quarantine.List, inFlight *quarantine.InFlight) *Quarantine {
	return newQuarantine(r.start, list, inFlight, r.quarantine)
}

// Stop ends the recording. The recorded steps remain readable.
func (r *Recorder) Stop() {
	r.admission.stop()
	r.targets.stop()
	r.holder.stop()
	r.budgets.stop()
	r.quarantine.stop()
}

// AdmissionSteps returns the recorded steps of the admission.
func (r *Recorder) AdmissionSteps() []AdmissionStep { return r.admission.Steps() }

// TargetSteps returns the recorded steps of the target table and the chooser.
func (r *Recorder) TargetSteps() []TargetStep { return r.targets.Steps() }

// HolderSteps returns the recorded steps of the token holder.
func (r *Recorder) HolderSteps() []HolderStep { return r.holder.Steps() }

// BudgetSteps returns the recorded steps of the retry budgets.
func (r *Recorder) BudgetSteps() []BudgetStep { return r.budgets.Steps() }

// QuarantineSteps returns the recorded steps of the quarantine list and the runs in flight.
func (r *Recorder) QuarantineSteps() []QuarantineStep { return r.quarantine.Steps() }

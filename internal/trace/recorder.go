package trace

import (
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/limit"
	"sapphirespread.example/priority"
	"sapphirespread.example/quarantine"
)

// DefaultBound is how many steps of each decision package a recorder keeps.
const DefaultBound = 1 << 16

// A Recorder records the decisions of one daemon. It keeps neither keys nor bodies nor headers.
type Recorder struct {
	start     time.Time
	admission *Stream[AdmissionStep]
	targets   *Stream[TargetStep]
	holder    *Stream[HolderStep]
	budgets   *budgets
	watch     *Stream[QuarantineStep]
}

// NewRecorder returns a recorder whose times count from start, and which keeps bound steps of each
// decision package.
func NewRecorder(start time.Time, bound int) *Recorder {
	return &Recorder{
		start:     start,
		admission: newStream[AdmissionStep](bound),
		targets:   newStream[TargetStep](bound),
		holder:    newStream[HolderStep](bound),
		budgets:   &budgets{Stream: newStream[BudgetStep](bound), start: start},
		watch:     newStream[QuarantineStep](bound),
	}
}

// Admission returns inner with its calls recorded.
func (r *Recorder) Admission(inner *priority.Admission) *Admission {
	return &Admission{Admission: inner, start: r.start, stream: r.admission}
}

// Targets returns table and its chooser with their calls recorded.
func (r *Recorder) Targets(table *target.Table, chooser *target.Chooser) *Targets {
	return &Targets{Table: table, chooser: chooser, start: r.start, stream: r.targets}
}

// Holder returns inner with its calls recorded.
func (r *Recorder) Holder(inner *limit.Holder) *Holder {
	return &Holder{Holder: inner, start: r.start, stream: r.holder}
}

// Budget returns a new retry budget of a service with its calls recorded.
func (r *Recorder) Budget(now time.Time, service string, share, minimum float64) *Budget {
	return r.budgets.set(now, service, share, minimum)
}

// Quarantine returns list and watch with their calls recorded.
func (r *Recorder) Quarantine(list *quarantine.List, watch *quarantine.InFlight) *Quarantine {
	return newQuarantine(r.start, list, watch, r.watch)
}

// Stop ends the recording; what was recorded can still be read.
func (r *Recorder) Stop() {
	r.admission.stop()
	r.targets.stop()
	r.holder.stop()
	r.budgets.stop()
	r.watch.stop()
}

// AdmissionSteps returns the recorded steps of the admission.
func (r *Recorder) AdmissionSteps() []AdmissionStep { return r.admission.Steps() }

// TargetSteps returns the recorded steps of the table and the chooser.
func (r *Recorder) TargetSteps() []TargetStep { return r.targets.Steps() }

// HolderSteps returns the recorded steps of the holder.
func (r *Recorder) HolderSteps() []HolderStep { return r.holder.Steps() }

// BudgetSteps returns the recorded steps of the retry budgets.
func (r *Recorder) BudgetSteps() []BudgetStep { return r.budgets.Steps() }

// QuarantineSteps returns the recorded steps of the list and the watch.
func (r *Recorder) QuarantineSteps() []QuarantineStep { return r.watch.Steps() }

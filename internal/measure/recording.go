package measure

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"sapphirespread.example/internal/load"
	"sapphirespread.example/internal/trace"
	"sapphirespread.example/priority"
)

// A Recording holds the recorded decisions of the daemons of one run.
type Recording struct {
	mu             sync.Mutex
	start          time.Time
	triggerStart   time.Duration
	recorders      map[string]*trace.Recorder
	failureDomains map[string]string
}

// NewRecording returns a recording that starts at the beginning of the current second, since retry budgets count in
// whole seconds.
func NewRecording() *Recording {
	now := time.Now()
	currentSecond := now.Add(-time.Duration(now.Nanosecond()))
	return &Recording{start: currentSecond, recorders: make(map[string]*trace.Recorder), failureDomains: make(map[string]string)}
}

// newRecorder adds a recorder for a daemon and returns it, or returns nil if r is nil.
func (r *Recording) newRecorder(daemon, failureDomain string) *trace.Recorder {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	recorder := trace.NewRecorder(r.start, trace.DefaultBound)
	r.recorders[daemon] = recorder
	r.failureDomains[daemon] = failureDomain
	return recorder
}

// setTriggerStart sets the time at which the trigger begins.
func (r *Recording) setTriggerStart(at time.Time) {
	if r != nil {
		r.triggerStart = at.Sub(r.start)
	}
}

// stop stops the recorders of all daemons when the load ends.
func (r *Recording) stop() {
	if r == nil {
		return
	}
	for _, recorder := range r.recorders {
		recorder.Stop()
	}
}

// daemonWithMost returns the daemon with the largest count, or the first of them by name.
func (r *Recording) daemonWithMost(count func(*trace.Recorder) int) string {
	names := slices.Sorted(maps.Keys(r.recorders))
	return slices.MaxFunc(names, func(a, b string) int {
		if difference := count(r.recorders[a]) - count(r.recorders[b]); difference != 0 {
			return difference
		}
		return strings.Compare(b, a)
	})
}

// daemonWithMostDelays returns the daemon whose admission queued or refused the most requests.
func (r *Recording) daemonWithMostDelays() string {
	return r.daemonWithMost(func(recorder *trace.Recorder) int {
		delayed := 0
		for _, step := range recorder.AdmissionSteps() {
			if step.Call == trace.Offer && !slices.Contains(step.Verdicts, priority.Verdict{ID: step.ID, Admitted: true}) {
				delayed++
			}
		}
		return delayed
	})
}

// daemonWithMostChoices returns the daemon with the most target choices, by the length of their text.
func (r *Recording) daemonWithMostChoices() string {
	return r.daemonWithMost(func(recorder *trace.Recorder) int { return len(trace.Outcomes(recorder.TargetSteps())) })
}

// daemonWithMostSpends returns the daemon with the most attempts to spend tokens.
func (r *Recording) daemonWithMostSpends() string {
	return r.daemonWithMost(func(recorder *trace.Recorder) int {
		spends := 0
		for _, step := range recorder.HolderSteps() {
			if step.Call == trace.Spend {
				spends++
			}
		}
		return spends
	})
}

// daemonWithMostRetries returns the daemon with the most retry decisions, by the length of their text.
func (r *Recording) daemonWithMostRetries() string {
	return r.daemonWithMost(func(recorder *trace.Recorder) int { return len(trace.Outcomes(recorder.BudgetSteps())) })
}

// daemonWithMostCrashes returns the daemon with the most recorded crashes. Among equals it prefers the most quarantine
// outcomes.
func (r *Recording) daemonWithMostCrashes() string {
	return r.daemonWithMost(func(recorder *trace.Recorder) int {
		crashes, outcomes := 0, 0
		for _, step := range recorder.QuarantineSteps() {
			outcomes += len(step.Outcome())
			if step.Call == trace.RecordCrash {
				crashes++
			}
		}
		return crashes*trace.DefaultBound + outcomes
	})
}

// otherSpends returns the times at which all daemons except excluded spent tokens of w.
func (r *Recording) otherSpends(w load.Workspace, excluded string) trace.Spends {
	spends := trace.Spends{Workspace: w.Name, Rate: w.Limit.Rate, Burst: w.Limit.Burst}
	for name, recorder := range r.recorders {
		if name == excluded {
			continue
		}
		for _, step := range recorder.HolderSteps() {
			if step.Call == trace.Spend && step.Workspace == w.Name && step.Taken {
				spends.At = append(spends.At, step.At)
			}
		}
	}
	slices.Sort(spends.At)
	return spends
}

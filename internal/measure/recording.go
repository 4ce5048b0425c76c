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

// A Recording holds the decisions of the daemons of one run.
type Recording struct {
	mu        sync.Mutex
	start     time.Time
	trigger   time.Duration
	recorders map[string]*trace.Recorder
	domains   map[string]string
}

// NewRecording returns a recording that starts with the current second, by which retry budgets count.
func NewRecording() *Recording {
	now := time.Now()
	wholeSecond := now.Add(-time.Duration(now.Nanosecond()))
	return &Recording{start: wholeSecond, recorders: make(map[string]*trace.Recorder), domains: make(map[string]string)}
}

// of returns a recorder for a daemon; without a recording there is none.
func (r *Recording) of(daemon, failureDomain string) *trace.Recorder {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	recorder := trace.NewRecorder(r.start, trace.DefaultBound)
	r.recorders[daemon] = recorder
	r.domains[daemon] = failureDomain
	return recorder
}

// triggered notes when the trigger begins.
func (r *Recording) triggered(at time.Time) {
	if r != nil {
		r.trigger = at.Sub(r.start)
	}
}

// ended ends the recording with the load.
func (r *Recording) ended() {
	if r == nil {
		return
	}
	for _, recorder := range r.recorders {
		recorder.Stop()
	}
}

// most returns the daemon of which count is largest, the first by name where several are.
func (r *Recording) most(count func(*trace.Recorder) int) string {
	names := slices.Sorted(maps.Keys(r.recorders))
	return slices.MaxFunc(names, func(a, b string) int {
		if by := count(r.recorders[a]) - count(r.recorders[b]); by != 0 {
			return by
		}
		return strings.Compare(b, a)
	})
}

// pressed returns the daemon whose admission made most requests wait or refused them.
func (r *Recording) pressed() string {
	return r.most(func(recorder *trace.Recorder) int {
		pressed := 0
		for _, step := range recorder.AdmissionSteps() {
			if step.Call == trace.Offer && !slices.Contains(step.Verdicts, priority.Verdict{ID: step.ID, Admitted: true}) {
				pressed++
			}
		}
		return pressed
	})
}

// choosing returns the daemon that made most choices.
func (r *Recording) choosing() string {
	return r.most(func(recorder *trace.Recorder) int { return len(trace.Outcomes(recorder.TargetSteps())) })
}

// spending returns the daemon that was asked for most tokens.
func (r *Recording) spending() string {
	return r.most(func(recorder *trace.Recorder) int {
		asked := 0
		for _, step := range recorder.HolderSteps() {
			if step.Call == trace.Spend {
				asked++
			}
		}
		return asked
	})
}

// retrying returns the daemon that asked for most retries.
func (r *Recording) retrying() string {
	return r.most(func(recorder *trace.Recorder) int { return len(trace.Outcomes(recorder.BudgetSteps())) })
}

// crashed returns the daemon that found most to tell of crashes.
func (r *Recording) crashed() string {
	return r.most(func(recorder *trace.Recorder) int {
		crashes, told := 0, 0
		for _, step := range recorder.QuarantineSteps() {
			told += len(step.Outcome())
			if step.Call == trace.CrashWatch {
				crashes++
			}
		}
		return crashes*trace.DefaultBound + told
	})
}

// spends returns when the daemons other than except spent tokens of w.
func (r *Recording) spends(w load.Workspace, except string) trace.Spends {
	spends := trace.Spends{Workspace: w.Name, Rate: w.Limit.Rate, Burst: w.Limit.Burst}
	for name, recorder := range r.recorders {
		if name == except {
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

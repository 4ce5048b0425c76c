package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/internal/trace"
	"sapphirespread.example/quarantine"
)

// TestRecorded replays what daemons asked of their list and their watch around crashes and compares what
// came of it. What is stated is judged apart from that, also with -rewrite.
func TestRecorded(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	datadriven.Walk(t, "testdata/recorded", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			steps, err := trace.Parse[trace.QuarantineStep](d.Input)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			replayed := trace.ReplayQuarantine(start, steps)
			j := recordedJudge{t: t, held: make(map[uint64]trace.QuarantineEntry), own: make(map[uint64]time.Duration), running: make(map[uint64][]uint64)}
			for _, step := range replayed {
				j.take(step)
			}
			return trace.Outcomes(replayed)
		})
	})
}

// recordedJudge holds what the steps alone tell.
type recordedJudge struct {
	t       *testing.T
	version uint64
	held    map[uint64]trace.QuarantineEntry
	own     map[uint64]time.Duration // held here until then, or until the register tells
	running map[uint64][]uint64      // fingerprints in flight by their runs
}

func (j *recordedJudge) take(step trace.QuarantineStep) {
	switch step.Call {
	case trace.ApplyList:
		j.apply(step)
	case trace.ResetList:
		j.version = 0
	case trace.Verdict:
		j.verdict(step)
	case trace.HoldList:
		if _, told := j.held[step.Fingerprint]; !told {
			j.own[step.Fingerprint] = step.Until
		}
	case trace.StartRun:
		j.running[step.Run] = append(j.running[step.Run], step.Fingerprint)
	case trace.EndRun:
		j.end(step)
	case trace.CrashWatch:
		j.crash(step)
	}
}

func (j *recordedJudge) apply(step trace.QuarantineStep) {
	if step.Version < j.version || step.Version == j.version && !step.Whole {
		return
	}
	j.version = step.Version
	if step.Whole {
		clear(j.held)
	}
	for _, entry := range step.Entries {
		j.held[entry.Fingerprint] = entry
		delete(j.own, entry.Fingerprint)
	}
	for _, cleared := range step.Cleared {
		delete(j.held, cleared)
		delete(j.own, cleared)
	}
}

// verdict checks that what was spread holds until its end, and nothing else.
func (j *recordedJudge) verdict(step trace.QuarantineStep) {
	want := quarantine.Clear
	if until, held := j.own[step.Fingerprint]; held && step.At < until {
		want = quarantine.Quarantined
	}
	if entry, held := j.held[step.Fingerprint]; held && step.At < entry.Until {
		want = entry.State
	}
	if step.State != want {
		j.t.Errorf("%s: %d is %s, want %s", step.At, step.Fingerprint, step.State, want)
	}
}

// end checks that a run survived if no crash came in between.
func (j *recordedJudge) end(step trace.QuarantineStep) {
	runs := j.running[step.Run]
	if step.Survived != (len(runs) > 0) {
		j.t.Errorf("%s: run %d survived: %t", step.At, step.Run, step.Survived)
	}
	if len(runs) > 0 {
		j.running[step.Run] = runs[1:]
	}
}

// crash checks that exactly what was in flight is suspected.
func (j *recordedJudge) crash(step trace.QuarantineStep) {
	var want []uint64
	for _, fingerprints := range j.running {
		want = append(want, fingerprints...)
	}
	slices.Sort(want)
	want = slices.Compact(want)
	clear(j.running)
	if !slices.Equal(step.Suspects, want) {
		j.t.Errorf("%s: suspects %d, want %d", step.At, step.Suspects, want)
	}
}

package target_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/trace"
)

const (
	silenceBound     = 3 * time.Second // until a quiet target gets nothing new, or four of its latencies
	silenceLatencies = 4
	killedBound      = 4 * time.Second // the registry's 3 s, and a heartbeat's second until all have heard
)

// TestRecorded replays what daemons chose under load and compares each choice. What is stated of them is
// judged apart from that, by the calls and choices alone, so that -rewrite does not pass a miss.
func TestRecorded(t *testing.T) {
	datadriven.Walk(t, "testdata/recorded", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			steps, err := trace.Parse[trace.TargetStep](d.Input)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			j := recordedJudge{t: t, known: make(map[string]*recordedTarget)}
			var domain, at string
			d.ScanArgs(t, "daemon", &j.daemon)
			d.ScanArgs(t, "failure-domain", &domain)
			if d.MaybeScanArgs(t, "killed", &j.killed) {
				d.ScanArgs(t, "at", &at)
				j.killedAt = duration(t, at)
			}
			replayed := trace.ReplayTargets(start, domain, j.daemon, steps)
			for _, step := range replayed {
				j.take(step)
			}
			return trace.Outcomes(replayed)
		})
	})
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// recordedTarget is what the calls alone tell of a target.
type recordedTarget struct {
	announced trace.TargetChange
	drained   bool
	owed      int // calls that have not ended
	quiet     time.Duration
	longest   time.Duration
}

// recordedJudge checks the choices of one daemon.
type recordedJudge struct {
	t              *testing.T
	daemon, killed string
	killedAt       time.Duration
	victim         uint64 // the incarnation that was killed
	known          map[string]*recordedTarget
}

func (j *recordedJudge) take(step trace.TargetStep) {
	j.see(step)
	of := j.known[step.Name]
	switch {
	case step.Call == trace.Apply && step.Err == nil:
		j.apply(step)
	case step.Call == trace.Choose && step.Found:
		j.choice(step)
	case of == nil:
	case step.Call == trace.Sent:
		if of.owed++; of.owed == 1 {
			of.quiet = step.At
		}
	case step.Call == trace.Heard:
		of.quiet = step.At
	case step.Call == trace.Answered:
		of.owed = max(0, of.owed-1)
		of.drained = of.drained || step.Observation.Draining
		of.longest = max(of.longest, step.Observation.Latency)
		if step.Observation.Kind != target.Unreachable {
			of.quiet = step.At
		}
	}
}

// see notes which incarnation is there when the target is killed.
func (j *recordedJudge) see(step trace.TargetStep) {
	if of := j.known[j.killed]; of != nil && step.At < j.killedAt {
		j.victim = of.announced.Incarnation
	}
}

func (j *recordedJudge) apply(step trace.TargetStep) {
	listed := make(map[string]bool)
	for _, change := range step.Changes {
		name := change.Name
		of := j.known[name]
		listed[name] = !change.Removed
		switch {
		case change.Removed:
			delete(j.known, name)
		case of == nil || of.announced.Incarnation < change.Incarnation:
			j.known[name] = &recordedTarget{announced: change, drained: change.State == target.Draining}
		case of.announced.Incarnation == change.Incarnation:
			of.announced = change
			of.drained = of.drained || change.State == target.Draining
		}
	}
	for name := range j.known {
		if step.Whole && !listed[name] {
			delete(j.known, name)
		}
	}
}

// choice checks one choice.
func (j *recordedJudge) choice(step trace.TargetStep) {
	chosen := step.Choice.Target
	if chosen.Name == j.killed && chosen.Incarnation == j.victim && step.At > j.killedAt+killedBound {
		j.t.Errorf("%s: %s was chosen, which was killed at %s", step.At, chosen.Name, j.killedAt)
	}
	of := j.known[chosen.Name]
	if of == nil || of.announced.Service != step.Service || of.announced.Incarnation != chosen.Incarnation {
		j.t.Errorf("%s: %s is not an announced target of %s", step.At, chosen.Name, step.Service)
		return
	}
	if of.drained {
		j.t.Errorf("%s: %s was chosen, which drains", step.At, chosen.Name)
	}
	if slices.Contains(step.Exclude, chosen.Name) {
		j.t.Errorf("%s: %s was chosen, which was excluded", step.At, chosen.Name)
	}
	silent := step.At - of.quiet
	if of.owed > 0 && chosen.Daemon != j.daemon && silent > max(silenceBound, silenceLatencies*of.longest) {
		j.t.Errorf("%s: %s was chosen, which owes answers and was silent for %s", step.At, chosen.Name, silent)
	}
}

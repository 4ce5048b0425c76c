package measure_test

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/measure"
	"sapphirespread.example/internal/trace"
)

var secret = regexp.MustCompile(`[0-9a-f]{32}`)

// TestRecordedRunsReplayToTheSame records a run through sockets and checks that each trace replays to the recorded
// decisions and contains no key.
func TestRecordedRunsReplayToTheSame(t *testing.T) {
	scenario, err := measure.FindScenario("tenant")
	if err != nil {
		t.Fatal(err)
	}
	shortTimes := measure.Times{Before: 100 * time.Millisecond, Trigger: 300 * time.Millisecond, After: 100 * time.Millisecond}
	d := deployment.Banevakt().Scaled(0.02)
	recording := measure.NewRecording()
	if _, err := measure.Run(t.Context(), measure.Sapphirespread, scenario, d, 3, shortTimes, measure.WithRecording(recording)); err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := recording.Write(folder, scenario, d, 3, shortTimes); err != nil {
		t.Fatal(err)
	}
	start := time.Unix(0, 0)
	for pkg, replay := range map[string]func(*testing.T, *datadriven.TestData) string{
		"priority": func(t *testing.T, d *datadriven.TestData) string {
			return trace.Outcomes(trace.ReplayAdmission(start, parseSteps[trace.AdmissionStep](t, d)))
		},
		"target": func(t *testing.T, d *datadriven.TestData) string {
			var domain, daemon string
			d.ScanArgs(t, "failure-domain", &domain)
			d.ScanArgs(t, "daemon", &daemon)
			return trace.Outcomes(trace.ReplayTargets(start, domain, daemon, parseSteps[trace.TargetStep](t, d)))
		},
		"limit": func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "others" {
				return d.Expected
			}
			return trace.Outcomes(trace.ReplayHolder(start, parseSteps[trace.HolderStep](t, d)))
		},
		"retry": func(t *testing.T, d *datadriven.TestData) string {
			return trace.Outcomes(trace.ReplayBudgets(start, parseSteps[trace.BudgetStep](t, d)))
		},
	} {
		path := filepath.Join(folder, pkg, "testdata", "recorded", "banevakt-tenant")
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if secret.Match(text) {
			t.Errorf("the trace of %s contains a key", pkg)
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Input == "" {
				t.Errorf("the trace of %s contains no steps", pkg)
			}
			return replay(t, d)
		})
	}
}

func parseSteps[S any](t *testing.T, d *datadriven.TestData) []S {
	t.Helper()
	steps, err := trace.Parse[S](d.Input)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return steps
}

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

// TestRecordedRunsReplayToTheSame records a run through sockets, and replays each of its traces to what was
// decided in it; none holds a key.
func TestRecordedRunsReplayToTheSame(t *testing.T) {
	scenario, err := measure.FindScenario("tenant")
	if err != nil {
		t.Fatal(err)
	}
	brief := measure.Times{Before: 100 * time.Millisecond, Trigger: 300 * time.Millisecond, After: 100 * time.Millisecond}
	d := deployment.Banevakt().Scaled(0.02)
	recording := measure.NewRecording()
	if _, err := measure.Run(t.Context(), measure.Sapphirespread, scenario, d, 3, brief, measure.WithRecording(recording)); err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := recording.Write(folder, scenario, d, 3, brief); err != nil {
		t.Fatal(err)
	}
	start := time.Unix(0, 0)
	for part, replay := range map[string]func(*testing.T, *datadriven.TestData) string{
		"priority": func(t *testing.T, d *datadriven.TestData) string {
			return trace.Outcomes(trace.ReplayAdmission(start, parse[trace.AdmissionStep](t, d)))
		},
		"target": func(t *testing.T, d *datadriven.TestData) string {
			var domain, daemon string
			d.ScanArgs(t, "failure-domain", &domain)
			d.ScanArgs(t, "daemon", &daemon)
			return trace.Outcomes(trace.ReplayTargets(start, domain, daemon, parse[trace.TargetStep](t, d)))
		},
		"limit": func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "others" {
				return d.Expected
			}
			return trace.Outcomes(trace.ReplayHolder(start, parse[trace.HolderStep](t, d)))
		},
		"retry": func(t *testing.T, d *datadriven.TestData) string {
			return trace.Outcomes(trace.ReplayBudgets(start, parse[trace.BudgetStep](t, d)))
		},
	} {
		path := filepath.Join(folder, part, "testdata", "recorded", "banevakt-tenant")
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if secret.Match(text) {
			t.Errorf("%s holds a key", part)
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Input == "" {
				t.Errorf("%s: nothing was recorded", part)
			}
			return replay(t, d)
		})
	}
}

func parse[S any](t *testing.T, d *datadriven.TestData) []S {
	t.Helper()
	steps, err := trace.Parse[S](d.Input)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return steps
}

package retry_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/internal/trace"
)

const (
	retryWindow   = 9 * time.Second // shorter by one slot, since the window moves in steps of 1 s
	successWindow = 10 * time.Second
	rounding      = 1e-9
)

// TestRecorded replays the retry budget operations that daemons recorded under load and compares each
// result. The bound on granted retries is checked separately, so that -rewrite can't hide a violation.
func TestRecorded(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	datadriven.Walk(t, "testdata/recorded", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			steps, err := trace.Parse[trace.BudgetStep](d.Input)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			replayed := trace.ReplayBudgets(start, steps)
			for i, step := range replayed {
				if step.Granted {
					checkRetry(t, replayed[:i+1])
				}
			}
			return trace.Outcomes(replayed)
		})
	})
}

// checkRetry checks that the retry in the last step stays within the budget given by all earlier steps.
func checkRetry(t *testing.T, steps []trace.BudgetStep) {
	t.Helper()
	last := steps[len(steps)-1]
	var share, minimum, successes, retries float64
	for _, step := range steps {
		age := last.At - step.At
		switch {
		case step.Service != last.Service:
		case step.Call == trace.SetBudget:
			share, minimum, successes, retries = step.Share, step.Minimum, 0, 0
		case step.Call == trace.Success && age <= successWindow:
			successes++
		case step.Granted && age <= retryWindow:
			retries++
		}
	}
	if allowed := share*successes + minimum*successWindow.Seconds(); retries > allowed+rounding {
		t.Errorf("%s: got %.0f retries to %s after %.0f successes, want at most %.2f", last.At, retries, last.Service, successes, allowed)
	}
}

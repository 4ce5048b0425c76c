package retry_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/internal/trace"
)

const (
	retriesWithin   = 9 * time.Second // the window moves in steps of a second
	successesWithin = 10 * time.Second
	rounding        = 1e-9
)

// TestRecorded replays what daemons asked of their retry budgets under load and compares each answer. That
// the granted retries keep to the successes is judged apart from that, also with -rewrite.
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

// checkRetry checks the retry that steps end with against all before it.
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
		case step.Call == trace.Success && age <= successesWithin:
			successes++
		case step.Granted && age <= retriesWithin:
			retries++
		}
	}
	if allowed := share*successes + minimum*successesWithin.Seconds(); retries > allowed+rounding {
		t.Errorf("%s: %.0f retries of %s after %.0f successes, at most %.2f allowed", last.At, retries, last.Service, successes, allowed)
	}
}

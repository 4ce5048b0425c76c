package limit_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/internal/trace"
)

const (
	withinRateAndBurst = "within rate and burst\n"
	rounding           = 1e-6
)

// TestRecorded replays the recorded calls of a daemon's holder under load and compares each spend, grant request and
// return. It also checks every window of the tokens spent by all daemons against rate and burst, even with -rewrite.
func TestRecorded(t *testing.T) {
	datadriven.Walk(t, "testdata/recorded", func(t *testing.T, path string) {
		var replayed []trace.HolderStep
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "replay" {
				steps, err := trace.Parse[trace.HolderStep](d.Input)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				replayed = trace.ReplayHolder(epoch, steps)
				return trace.Outcomes(replayed)
			}
			others, err := trace.Parse[trace.Spends](d.Input)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			for _, spends := range others {
				checkWindows(t, withHolderSpends(spends, replayed))
			}
			return withinRateAndBurst
		})
	})
}

// withHolderSpends returns spends together with the tokens that the replayed holder spent.
func withHolderSpends(spends trace.Spends, replayed []trace.HolderStep) trace.Spends {
	for _, step := range replayed {
		if step.Call == trace.Spend && step.Workspace == spends.Workspace && step.Taken {
			spends.At = append(spends.At, slices.Repeat([]time.Duration{step.At}, int(step.Tokens))...)
		}
	}
	slices.Sort(spends.At)
	return spends
}

// checkWindows checks rate and burst in every window between two spends.
func checkWindows(t *testing.T, spends trace.Spends) {
	t.Helper()
	for i, from := range spends.At {
		for j := i; j < len(spends.At); j++ {
			allowed := float64(spends.Burst) + spends.Rate*(spends.At[j]-from).Seconds()
			if spent := float64(j - i + 1); spent > allowed+rounding {
				t.Errorf("%s: %.0f tokens spent from %s to %s, at most %.2f allowed", spends.Workspace, spent, from, spends.At[j], allowed)
				return
			}
		}
	}
}

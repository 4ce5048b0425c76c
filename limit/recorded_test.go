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

// TestRecorded replays what a daemon's holder of tokens did under load and compares each spend, ask and
// return. With what the other daemons spent, each window is judged by rate and burst, also with -rewrite.
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
				checkWindows(t, withOwn(spends, replayed))
			}
			return withinRateAndBurst
		})
	})
}

// withOwn adds what the replayed holder spent.
func withOwn(spends trace.Spends, replayed []trace.HolderStep) trace.Spends {
	for _, step := range replayed {
		if step.Call == trace.Spend && step.Workspace == spends.Workspace && step.Taken {
			spends.At = append(spends.At, slices.Repeat([]time.Duration{step.At}, int(step.Tokens))...)
		}
	}
	slices.Sort(spends.At)
	return spends
}

// checkWindows checks each window from one spend to another.
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

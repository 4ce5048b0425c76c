package limits_test

import (
	"fmt"
	"testing"
	"time"

	"sapphirespread.example/internal/baseline/limits"
	"sapphirespread.example/limit"
)

const wrongfulGoal = 0.001

func load(name string, rate float64, burst int64, demand, first float64) limits.Load {
	return limits.Load{Workspace: name, Bucket: limit.Bucket{Rate: rate, Burst: burst}, Demand: demand, FirstDaemonShare: first}
}

var (
	large   = load("large", 2000, 400, 0.9, 0)
	uneven  = load("uneven", 2000, 400, 0.9, 0.8)
	full    = load("full", 2000, 400, 1, 0)
	hopping = load("hopping", 5, 5, 0.9, 0)
	slow    = load("slow", 1, 2, 0.7, 0)
	noisy   = load("noisy", 500, 100, 10, 0)
)

func scenario(name string, length time.Duration, loads ...limits.Load) limits.Scenario {
	return limits.Scenario{
		Name: name, Daemons: 20, Loads: loads, Length: length, Seed: 1,
		Delay: 750 * time.Microsecond, Patience: time.Second,
	}
}

func scenarios(length time.Duration) []limits.Scenario {
	far := scenario("far owner", length, large, hopping, slow)
	far.Delay = 20 * time.Millisecond
	return []limits.Scenario{
		scenario("large", length, large),
		scenario("large, 80% at one daemon", length, uneven),
		scenario("large at its whole rate", length, full),
		scenario("small, hopping", length, hopping, slow),
		scenario("all, another at 10x", length, large, uneven, hopping, slow, noisy),
		far,
	}
}

func checkBound(t *testing.T, s limits.Scenario, r limits.Report) {
	t.Helper()
	for _, o := range r.Outcomes {
		if o.Excess > 1e-6 {
			t.Errorf("%s: %s: %.1f tokens over rate and burst", s.Name, o.Workspace, o.Excess)
		}
	}
}

func TestWrongfulRefusalsAreRarerThanOneInAThousand(t *testing.T) {
	for _, s := range scenarios(2 * time.Second) {
		r := limits.Run(s, limits.Grants)
		checkBound(t, s, r)
		for _, o := range r.Outcomes {
			if o.Wrongful() >= wrongfulGoal {
				t.Errorf("%s: %s: %.4f of the requests within the limit refused", s.Name, o.Workspace, o.Wrongful())
			}
		}
	}
}

func TestBoundHoldsWhileTheOwnerIsReplaced(t *testing.T) {
	for _, s := range lostOwner(3*time.Second, time.Second) {
		r := limits.Run(s, limits.Grants)
		checkBound(t, s, r)
		if most := s.OwnerGap + limit.DefaultGrantDuration + 2*time.Second; r.OwnerIdle == 0 || r.OwnerIdle > most {
			t.Errorf("%s: tokens came %v after the owner was lost, want at most %v", s.Name, r.OwnerIdle, most)
		}
	}
}

func lostOwner(length, at time.Duration) []limits.Scenario {
	lost := scenarios(length)
	for i := range lost {
		lost[i].OwnerLostAt, lost[i].OwnerGap = at, time.Second
	}
	return lost
}

// BenchmarkMethods compares the methods; its figures are of the scenario's time, not of the machine's.
func BenchmarkMethods(b *testing.B) {
	benchmark(b, scenarios(time.Minute))
}

// BenchmarkOwnerLost compares the methods where the owner is lost after 20 s and replaced 1 s later.
func BenchmarkOwnerLost(b *testing.B) {
	benchmark(b, lostOwner(time.Minute, 20*time.Second))
}

func benchmark(b *testing.B, scenarios []limits.Scenario) {
	for _, s := range scenarios {
		for _, method := range []limits.Method{limits.Grants, limits.EvenSplit, limits.AskEveryTime} {
			b.Run(fmt.Sprintf("%s/%s", s.Name, method), func(b *testing.B) {
				var r limits.Report
				for b.Loop() {
					r = limits.Run(s, method)
				}
				b.ReportMetric(float64(r.Messages)/s.Length.Seconds(), "messages/s")
				b.ReportMetric(r.OwnerIdle.Seconds(), "s-to-tokens")
				for _, o := range r.Outcomes {
					b.ReportMetric(1000*o.Wrongful(), o.Workspace+"-wrongful/1000")
					b.ReportMetric(o.Excess, o.Workspace+"-excess")
					b.ReportMetric(milliseconds(o.WaitMedian), o.Workspace+"-wait-p50-ms")
					b.ReportMetric(milliseconds(o.WaitMost), o.Workspace+"-wait-max-ms")
				}
			})
		}
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

package limits_test

import (
	"fmt"
	"testing"
	"time"

	"sapphirespread.example/internal/baseline/limits"
	"sapphirespread.example/limit"
)

const maxWrongfulRatio = 0.001

func load(name string, rate float64, burst int64, demand, first float64) limits.Load {
	return limits.Load{Workspace: name, Bucket: limit.Bucket{Rate: rate, Burst: burst}, Demand: demand, FirstDaemonShare: first}
}

var (
	large  = load("large", 2000, 400, 0.9, 0)
	uneven = load("uneven", 2000, 400, 0.9, 0.8)
	full   = load("full", 2000, 400, 1, 0)
	// hopping sends so few requests that successive ones rarely arrive at the same daemon.
	hopping = load("hopping", 5, 5, 0.9, 0)
	slow    = load("slow", 1, 2, 0.7, 0)
	noisy   = load("noisy", 500, 100, 10, 0)
)

func scenario(name string, duration time.Duration, loads ...limits.Load) limits.Scenario {
	return limits.Scenario{
		Name: name, Daemons: 20, Loads: loads, Duration: duration, Seed: 1,
		LinkDelay: 750 * time.Microsecond, QueueTimeout: time.Second,
	}
}

func scenarios(duration time.Duration) []limits.Scenario {
	far := scenario("far owner", duration, large, hopping, slow)
	far.LinkDelay = 20 * time.Millisecond
	return []limits.Scenario{
		scenario("large", duration, large),
		scenario("large, 80% at one daemon", duration, uneven),
		scenario("large at its whole rate", duration, full),
		scenario("small, hopping", duration, hopping, slow),
		scenario("all, another at 10x", duration, large, uneven, hopping, slow, noisy),
		far,
	}
}

func checkBound(t *testing.T, s limits.Scenario, r limits.Report) {
	t.Helper()
	for _, o := range r.Outcomes {
		if o.Excess > 1e-6 {
			t.Errorf("%s: %s: %.1f tokens used beyond rate and burst", s.Name, o.Workspace, o.Excess)
		}
	}
}

func TestWrongfulRefusalsAreRarerThanOneInAThousand(t *testing.T) {
	for _, s := range scenarios(2 * time.Second) {
		r := limits.Run(s, limits.Grants)
		checkBound(t, s, r)
		for _, o := range r.Outcomes {
			if o.WrongfulRatio() >= maxWrongfulRatio {
				t.Errorf("%s: %s: %.4f of the requests within the limit refused", s.Name, o.Workspace, o.WrongfulRatio())
			}
		}
	}
}

func TestBoundHoldsWhileTheOwnerIsReplaced(t *testing.T) {
	for _, s := range withOwnerLost(3*time.Second, time.Second) {
		r := limits.Run(s, limits.Grants)
		checkBound(t, s, r)
		if maxFailover := s.OwnerDowntime + limit.DefaultGrantDuration + 2*time.Second; r.FailoverTime == 0 || r.FailoverTime > maxFailover {
			t.Errorf("%s: first admission by the new owner %v after the loss, want at most %v", s.Name, r.FailoverTime, maxFailover)
		}
	}
}

func withOwnerLost(duration, at time.Duration) []limits.Scenario {
	lost := scenarios(duration)
	for i := range lost {
		lost[i].OwnerLostAt, lost[i].OwnerDowntime = at, time.Second
	}
	return lost
}

// BenchmarkMethods compares the methods; its metrics are in simulated time, not in wall-clock time.
func BenchmarkMethods(b *testing.B) {
	benchmark(b, scenarios(time.Minute))
}

// BenchmarkOwnerLost compares the methods when the owner is lost after 20 s and replaced 1 s later.
func BenchmarkOwnerLost(b *testing.B) {
	benchmark(b, withOwnerLost(time.Minute, 20*time.Second))
}

func benchmark(b *testing.B, scenarios []limits.Scenario) {
	for _, s := range scenarios {
		for _, method := range []limits.Method{limits.Grants, limits.EvenSplit, limits.CentralBucket} {
			b.Run(fmt.Sprintf("%s/%s", s.Name, method), func(b *testing.B) {
				var r limits.Report
				for b.Loop() {
					r = limits.Run(s, method)
				}
				b.ReportMetric(float64(r.Messages)/s.Duration.Seconds(), "messages/s")
				b.ReportMetric(r.FailoverTime.Seconds(), "s-to-tokens")
				for _, o := range r.Outcomes {
					b.ReportMetric(1000*o.WrongfulRatio(), o.Workspace+"-wrongful/1000")
					b.ReportMetric(o.Excess, o.Workspace+"-excess")
					b.ReportMetric(milliseconds(o.MedianWait), o.Workspace+"-wait-p50-ms")
					b.ReportMetric(milliseconds(o.MaxWait), o.Workspace+"-wait-max-ms")
				}
			})
		}
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

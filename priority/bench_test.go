package priority_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/priority"
)

const benchmarkSeeds = 30

// BenchmarkScenarios reports the minimum and mean goodput, the longest recovery and the number of missed
// expectations over 30 seeds of each scenario.
func BenchmarkScenarios(b *testing.B) {
	data, err := os.ReadFile("testdata/scenarios/load")
	if err != nil {
		b.Fatal(err)
	}
	titles := strings.Split(string(data), "\n")
	datadriven.RunTestFromString(&testing.T{}, string(data), func(t *testing.T, d *datadriven.TestData) string {
		var line int
		fmt.Sscanf(d.Pos, "<string>:%d", &line)
		b.Run(strings.TrimPrefix(titles[line-2], "# "), func(b *testing.B) {
			for b.Loop() {
				reportSeeds(b, t, d)
			}
		})
		return d.Expected
	})
}

// reportSeeds simulates one scenario with each seed and reports the aggregated results.
func reportSeeds(b *testing.B, t *testing.T, d *datadriven.TestData) {
	least, mean, longest, missed := math.Inf(1), 0.0, 0.0, 0
	for seed := range uint64(benchmarkSeeds) {
		s := readScenario(t, d)
		s.backend.random = rand.New(rand.NewPCG(seed+1, 77))
		r := s.backend.run(s.flows, s.duration)
		least = min(least, s.goodput(r))
		mean += s.goodput(r) / benchmarkSeeds
		longest = max(longest, s.recovery(r))
		if s.compare(r) != allExpectationsMet {
			missed++
		}
	}
	b.ReportMetric(least, "least-goodput")
	b.ReportMetric(mean, "mean-goodput")
	b.ReportMetric(longest, "s-recovery")
	b.ReportMetric(float64(missed), "missed-of-30")
}

// BenchmarkAdmission measures admitting and finishing one request with a free slot, under a shared lock as
// in a daemon.
func BenchmarkAdmission(b *testing.B) {
	a := priority.NewAdmission(priority.WithSlots(1000))
	var mu sync.Mutex
	var ids uint64
	began := time.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			now := start.Add(time.Since(began))
			mu.Lock()
			ids++
			id := ids
			r := priority.Request{ID: id, RootHash: id, Priority: int(id % 3), Workspace: "club", Share: 1, Deadline: now.Add(time.Minute)}
			a.Offer(now, r)
			a.Done(now, id, priority.Result{Latency: time.Millisecond})
			mu.Unlock()
		}
	})
}

// BenchmarkOverload measures offers to a full queue, where each request displaces another and each finished
// run admits one.
func BenchmarkOverload(b *testing.B) {
	for _, workspaces := range []int{8, 64} {
		b.Run(fmt.Sprint(workspaces, " workspaces"), func(b *testing.B) {
			names := make([]string, workspaces)
			for i := range names {
				names[i] = fmt.Sprint("w", i)
			}
			a := priority.NewAdmission(priority.WithSlots(64))
			var running []uint64
			id := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				now := start.Add(time.Duration(id) * 10 * time.Microsecond)
				id++
				r := priority.Request{ID: id, RootHash: id, Priority: int(id % 3), Workspace: names[id%uint64(workspaces)], Share: 1, Deadline: now.Add(time.Minute)}
				running = appendAdmitted(running, a.Offer(now, r))
				if id%3 == 0 && len(running) > 0 {
					running = appendAdmitted(running[1:], a.Done(now, running[0], priority.Result{Latency: time.Millisecond}))
				}
			}
		})
	}
}

func appendAdmitted(running []uint64, verdicts []priority.Verdict) []uint64 {
	for _, v := range verdicts {
		if v.Admitted {
			running = append(running, v.ID)
		}
	}
	return running
}

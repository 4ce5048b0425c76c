package standin_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/internal/standin"
)

func TestProcessorSharesItsSpeed(t *testing.T) {
	cases := []struct {
		name                 string
		inFlight             int
		slowdown, contention float64
		want                 time.Duration
	}{
		{"within the slots", 2, 1, 0.5, time.Second},
		{"slowed", 2, 3, 0.5, 3 * time.Second},
		{"twice the slots without contention", 4, 1, 0, 2 * time.Second},
		{"twice the slots with contention", 4, 1, 0.5, 3 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			p := standin.NewProcessor(now, 2, c.contention)
			p.SetSlowdown(now, c.slowdown)
			for range c.inFlight {
				p.Admit(now)
			}
			p.Start(now, time.Second)
			next, pending := p.NextFinish(now)
			if !pending || (next-c.want).Abs() > time.Millisecond {
				t.Fatalf("next job finishes in %v (%v), want %v", next, pending, c.want)
			}
		})
	}
}

// Each job finishes exactly once and not before its duration at full speed. The number of slots limits the throughput.
func TestProcessorNeverExceedsItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		now := start
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		p := standin.NewProcessor(now, slots, rapid.Float64Range(0, 1).Draw(t, "contention"))
		type runningJob struct {
			at   time.Time
			work time.Duration
		}
		running := map[uint64]runningJob{}
		var finishedWork time.Duration
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "start") {
				work := time.Duration(rapid.IntRange(1, 1000).Draw(t, "work")) * time.Millisecond
				p.Admit(now)
				running[p.Start(now, work)] = runningJob{now, work}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			for _, id := range p.PopFinished(now) {
				job, known := running[id]
				if !known {
					t.Fatalf("job %d finished twice or was never started", id)
				}
				if now.Sub(job.at) < job.work {
					t.Fatalf("job of %v finished after %v", job.work, now.Sub(job.at))
				}
				delete(running, id)
				p.Release(now)
				finishedWork += job.work
			}
		}
		if limit := time.Duration(slots) * now.Sub(start); finishedWork > limit {
			t.Fatalf("finished %v of work with %d slots in %v", finishedWork, slots, now.Sub(start))
		}
	})
}

package priority_test

import (
	"slices"
	"testing"
	"time"

	"sapphirespread.example/priority"
)

// TestWhatHasBegunIsFinishedFirst checks the order at a busy target: by rank, within a rank what has begun before new
// requests, and of what has begun the oldest first, also once requests have waited for long.
func TestWhatHasBegunIsFinishedFirst(t *testing.T) {
	a := priority.NewAdmission(priority.WithSlots(8), priority.WithTreeDemand(), priority.WithBegunFirst())
	deadline := start.Add(time.Minute)
	offer := func(at time.Duration, id uint64, rank int, begun bool) (admitted bool) {
		verdicts := a.Offer(start.Add(at), priority.Request{ID: id, Priority: rank, Route: "read", Share: 1, Deadline: deadline, Nested: begun})
		return slices.ContainsFunc(verdicts, func(v priority.Verdict) bool { return v.ID == id && v.Admitted })
	}
	offer(0, 1, 0, false)
	offer(0, 2, 0, false)
	for _, r := range []struct {
		id    uint64
		rank  int
		begun bool
	}{{10, 2, false}, {11, 2, true}, {12, 2, true}, {13, 1, false}, {14, 1, true}, {15, 3, true}} {
		if offer(time.Millisecond, r.id, r.rank, r.begun) {
			t.Fatalf("%d was admitted beyond the limit", r.id)
		}
	}
	var order []uint64
	running := []uint64{1, 2}
	for at := 200 * time.Millisecond; len(running) > 0; at += time.Millisecond {
		verdicts := a.Done(start.Add(at), running[0], priority.Result{Latency: 100 * time.Millisecond, Failed: true})
		running = running[1:]
		for _, v := range verdicts {
			if v.Admitted {
				order = append(order, v.ID)
				running = append(running, v.ID)
			}
		}
	}
	if want := []uint64{14, 13, 11, 12, 10, 15}; !slices.Equal(order, want) {
		t.Errorf("admitted in the order %v, want %v", order, want)
	}
}

package priority_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/priority"
)

const minFairShare = 0.9 // of its fair share that the worst-served workspace must get

func levels() *rapid.Generator[priority.Level] {
	return rapid.Custom(func(t *rapid.T) priority.Level {
		level := priority.Level{
			Priority:   rapid.IntRange(0, 3).Draw(t, "priority"),
			Share:      rapid.Float64Range(0, 1).Draw(t, "share"),
			ValidUntil: start.Add(rapid.SampledFrom([]time.Duration{-1, 0, 1, 2}).Draw(t, "valid")),
		}
		for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID).Draw(t, "named") {
			share := rapid.Float64Range(0, 1).Draw(t, "share of "+name)
			level.Workspaces = append(level.Workspaces, priority.WorkspaceShare{Workspace: priority.HashWorkspace(name), Share: share})
		}
		slices.SortFunc(level.Workspaces, func(a, b priority.WorkspaceShare) int { return int(int64(a.Workspace) - int64(b.Workspace)) })
		return level
	})
}

// TestStricterShedsWhatEitherSheds checks that the combined level of two services that a request needs sheds
// what either of them sheds.
func TestStricterShedsWhatEitherSheds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := levels().Draw(t, "a"), levels().Draw(t, "b")
		stricter := priority.Stricter(start, a, b)
		origin := priority.Origin{
			Priority:  rapid.IntRange(0, 4).Draw(t, "of priority"),
			Workspace: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "workspace"),
		}
		want := max(a.ShareAt(start, origin), b.ShareAt(start, origin))
		if got := stricter.ShareAt(start, origin); got != want {
			t.Fatalf("shed share of %+v: got %v from %+v and %+v combined, want %v", origin, got, a, b, want)
		}
		if priority.CompareStrictness(start, stricter, a) < 0 || priority.CompareStrictness(start, stricter, b) < 0 {
			t.Fatalf("%+v is less strict than %+v or %+v", stricter, a, b)
		}
	})
}

// TestLevelTakesFromTheExcess offers twice the capacity of a target, most of it from some workspaces.
// Upstream shedding must only affect workspaces above their fair share, and the worst-served workspace must
// get at least minFairShare of its fair share.
func TestLevelTakesFromTheExcess(t *testing.T) {
	const slots, service, step = 20, 50 * time.Millisecond, time.Millisecond
	for _, c := range []struct {
		name   string
		every  []int // steps between two requests of each workspace
		within []int // indexes of the workspaces within their fair share of 400 requests per second
	}{
		{"one large", []int{2, 10, 20, 20}, []int{1, 2, 3}},
		{"two large", []int{2, 3, 25, 50}, []int{2, 3}},
		{"all alike", []int{5, 5, 5, 5}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := priority.NewAdmission(priority.WithSlots(slots))
			ends := make(map[time.Time][]uint64)
			var workers [slots]time.Time // time at which each worker is free
			admittedAt := make(map[uint64]time.Time)
			var id uint64
			meanShed := make([]float64, len(c.every)) // share shed of each workspace, averaged over the second half
			for i := range 4000 {
				now := start.Add(time.Duration(i) * step)
				applyVerdicts := func(verdicts []priority.Verdict) {
					for _, v := range verdicts {
						if !v.Admitted {
							continue
						}
						first := 0
						for worker := range workers {
							if workers[worker].Before(workers[first]) {
								first = worker
							}
						}
						workers[first] = latest(now, workers[first]).Add(service)
						admittedAt[v.ID] = now
						ends[workers[first]] = append(ends[workers[first]], v.ID)
					}
				}
				for _, ended := range ends[now] {
					applyVerdicts(a.Done(now, ended, priority.Result{Latency: now.Sub(admittedAt[ended])}))
				}
				level := a.Level(now)
				for w, every := range c.every {
					origin := priority.Origin{Workspace: fmt.Sprint("w", w), RootHash: id * 0x9e3779b97f4a7c15}
					shed := level.ShareAt(now, origin)
					if i >= 2000 {
						meanShed[w] += shed / 2000
					}
					if id++; i%every == 0 && !origin.ShedBy(shed) {
						applyVerdicts(a.Offer(now, priority.Request{
							ID: id, Workspace: origin.Workspace, Share: 1, Deadline: now.Add(time.Second), Shed: shed,
						}))
					}
				}
				applyVerdicts(a.Tick(now))
			}
			for w, shed := range meanShed {
				if within := slices.Contains(c.within, w); within != (shed <= 1-minFairShare) {
					t.Errorf("shed share of workspace %d: %.2f; within its fair share: %v", w, shed, within)
				}
			}
		})
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestDependenciesAreWhatNearlyAllRunsNeed checks that a call does not count as needed if only some runs
// make it or if runs succeed although it was refused.
func TestDependenciesAreWhatNearlyAllRunsNeed(t *testing.T) {
	always, mostly, rarely := priority.Callee{Service: "court"}, priority.Callee{Service: "payment"}, priority.Callee{Service: "coach"}
	d := priority.NewDependencies()
	for i := range 300 {
		made := []priority.Callee{always}
		if i%50 != 49 {
			made = append(made, mostly)
		}
		if i%4 == 0 {
			made = append(made, rarely)
		}
		d.RecordSuccess("reserve", made)
		if i < 100 {
			continue
		}
		if got := d.Needed("reserve"); !slices.Equal(got, []priority.Callee{always, mostly}) {
			t.Fatalf("after %d runs: got needed calls %v", i+1, got)
		}
	}
	if got := d.Needed("account"); len(got) != 0 {
		t.Errorf("got needed calls %v for a route without runs", got)
	}
}

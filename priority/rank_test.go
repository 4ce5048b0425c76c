package priority_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/priority"
)

// TestRankPutsTheWorkspaceFirst checks the order of ranks against that of their levels.
func TestRankPutsTheWorkspaceFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		level := rapid.IntRange(0, 31)
		workspace, route := level.Draw(t, "workspace"), level.Draw(t, "route")
		otherWorkspace, otherRoute := level.Draw(t, "other workspace"), level.Draw(t, "other route")
		rank, other := priority.Rank(workspace, route), priority.Rank(otherWorkspace, otherRoute)
		want := workspace < otherWorkspace || workspace == otherWorkspace && route < otherRoute
		if (rank < other) != want {
			t.Fatalf("rank %d of %d/%d, %d of %d/%d", rank, workspace, route, other, otherWorkspace, otherRoute)
		}
		if priority.LeadingLevel(rank) != workspace || priority.RouteLevel(rank) != route {
			t.Fatalf("rank %d of %d/%d reads as %d/%d", rank, workspace, route, priority.LeadingLevel(rank), priority.RouteLevel(rank))
		}
	})
}

// TestShortServiceShedsTheLeastImportantRoute offers a target twice what it can run. All of it is of workspaces of one level;
// the less important route makes eight nested calls at once for each request, the other makes one. The pattern is a
// calendar that is browsed by all while a few book.
func TestShortServiceShedsTheLeastImportantRoute(t *testing.T) {
	const (
		slots, service, step = 20, 50 * time.Millisecond, time.Millisecond
		bookEvery            = 10 // steps between two requests that make one nested call
		browseEvery          = 11 // steps between two requests that make eight
		browseCalls          = 8
		important            = 0.95 // of the requests of the important route that are to be let through
	)
	a := priority.NewAdmission(priority.WithSlots(slots))
	ends := make(map[time.Time][]uint64)
	begun := make(map[uint64]time.Time)
	var id, whole uint64
	var booked, bookings int
	for i := range 4000 {
		now := start.Add(time.Duration(i) * step)
		take := func(verdicts []priority.Verdict) {
			for _, v := range verdicts {
				if v.Admitted {
					begun[v.ID] = now
					ends[now.Add(service)] = append(ends[now.Add(service)], v.ID)
				}
			}
		}
		for _, ended := range ends[now] {
			take(a.Done(now, ended, priority.Result{Latency: now.Sub(begun[ended])}))
		}
		level := a.Level(now)
		offer := func(route, calls int) bool {
			whole++
			origin := priority.Origin{Priority: priority.Rank(1, route), Workspace: "club", WholeHash: whole * 0x9e3779b97f4a7c15}
			shed := level.ShareAt(now, origin)
			if origin.ShedBy(shed) {
				return false
			}
			for range calls {
				id++
				take(a.Offer(now, priority.Request{
					ID: id, Priority: origin.Priority, Workspace: origin.Workspace, Share: 1, Deadline: now.Add(time.Second), Shed: shed, Nested: true,
				}))
			}
			return true
		}
		if i%browseEvery == 0 {
			offer(2, browseCalls)
		}
		if i%bookEvery == 0 {
			passed := offer(0, 1)
			if i >= 2000 {
				bookings++
				if passed {
					booked++
				}
			}
		}
		take(a.Tick(now))
	}
	if share := float64(booked) / float64(bookings); share < important {
		t.Errorf("%.2f of the important requests are let through, want %.2f", share, important)
	}
}

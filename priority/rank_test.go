package priority_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/priority"
)

// TestRankPutsTheWorkspaceFirst checks that ranks are ordered by workspace level, then by route level.
func TestRankPutsTheWorkspaceFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		level := rapid.IntRange(0, 31)
		workspace, route := level.Draw(t, "workspace"), level.Draw(t, "route")
		otherWorkspace, otherRoute := level.Draw(t, "other workspace"), level.Draw(t, "other route")
		rank, other := priority.Rank(workspace, route), priority.Rank(otherWorkspace, otherRoute)
		want := workspace < otherWorkspace || workspace == otherWorkspace && route < otherRoute
		if (rank < other) != want {
			t.Fatalf("wrong order: rank %d of %d/%d, rank %d of %d/%d", rank, workspace, route, other, otherWorkspace, otherRoute)
		}
		if priority.WorkspaceLevel(rank) != workspace || priority.RouteLevel(rank) != route {
			t.Fatalf("rank %d of %d/%d decodes to %d/%d", rank, workspace, route, priority.WorkspaceLevel(rank), priority.RouteLevel(rank))
		}
	})
}

// TestShortServiceShedsTheLeastImportantRoute offers a target twice its capacity, all from workspaces of the
// same level. The less important route makes eight concurrent nested calls per request, the other makes one.
// An example is a calendar that everyone browses while a few users book.
func TestShortServiceShedsTheLeastImportantRoute(t *testing.T) {
	const (
		slots, service, step = 20, 50 * time.Millisecond, time.Millisecond
		bookEvery            = 10 // steps between two requests with one nested call
		browseEvery          = 11 // steps between two requests with eight nested calls
		browseCalls          = 8
		minPassedShare       = 0.95 // of the requests of the important route
	)
	a := priority.NewAdmission(priority.WithSlots(slots))
	ends := make(map[time.Time][]uint64)
	admittedAt := make(map[uint64]time.Time)
	var id, root uint64
	var passedBookings, bookings int
	for i := range 4000 {
		now := start.Add(time.Duration(i) * step)
		applyVerdicts := func(verdicts []priority.Verdict) {
			for _, v := range verdicts {
				if v.Admitted {
					admittedAt[v.ID] = now
					ends[now.Add(service)] = append(ends[now.Add(service)], v.ID)
				}
			}
		}
		for _, ended := range ends[now] {
			applyVerdicts(a.Done(now, ended, priority.Result{Latency: now.Sub(admittedAt[ended])}))
		}
		level := a.Level(now)
		offer := func(route, calls int) bool {
			root++
			origin := priority.Origin{Priority: priority.Rank(1, route), Workspace: "club", RootHash: root * 0x9e3779b97f4a7c15}
			shed := level.ShareAt(now, origin)
			if origin.ShedBy(shed) {
				return false
			}
			for range calls {
				id++
				applyVerdicts(a.Offer(now, priority.Request{
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
					passedBookings++
				}
			}
		}
		applyVerdicts(a.Tick(now))
	}
	if share := float64(passedBookings) / float64(bookings); share < minPassedShare {
		t.Errorf("share of important requests let through: got %.2f, want at least %.2f", share, minPassedShare)
	}
}

package tree_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/internal/admission/room"
	"sapphirespread.example/internal/admission/tree"
	"sapphirespread.example/priority"
)

var join = priority.Callee{Service: "bookings", Route: "class-join"}

// learnt returns a gate that knows that join needs both services.
func learnt(services ...string) *tree.Gate {
	g := tree.NewGate()
	costs := []tree.Cost{{Service: join.Service, Calls: 1, SlotTime: time.Second / 10}}
	for _, service := range services {
		costs = append(costs, tree.Cost{Service: service, Calls: 8, SlotTime: time.Second / 5})
	}
	g.Observe(join, costs)
	return g
}

// cutting returns the report of a target that sheds all requests less important than rank.
func cutting(now time.Time, target string, rank int) room.Report {
	return room.NewReport(now, scarce, target, priority.Level{Priority: rank, ValidUntil: now.Add(time.Millisecond)}, 0)
}

func origin(rank int) priority.Origin {
	return priority.Origin{Priority: rank, Workspace: "club", RootHash: 42}
}

// TestWithoutNewsRootsBegin checks the stated default of each state in which an entry knows nothing that counts.
func TestWithoutNewsRootsBegin(t *testing.T) {
	refused := func(g *tree.Gate, after time.Duration) bool {
		return g.Decide(start.Add(after), join, origin(5)).Refused
	}
	short := learnt(scarce)
	short.Record(start, cutting(start, "one", 3))
	if !refused(short, room.Validity/2) {
		t.Error("a root began for which the service has no room")
	}
	if refused(short, room.Validity) {
		t.Error("a frozen service, or one behind a cut link, holds back roots after its last report has run out")
	}
	if g := tree.NewGate(); refused(g, 0) {
		t.Error("a gate that has just started refuses a root")
	}
	unknown := tree.NewGate()
	unknown.Record(start, cutting(start, "one", 3))
	if refused(unknown, 0) {
		t.Error("a root of a new route was refused")
	}
	old := learnt(scarce)
	old.Record(start.Add(2*room.Validity), cutting(start, "one", 3))
	if refused(old, 2*room.Validity) {
		t.Error("an old report counts")
	}
	late := learnt(scarce)
	late.Record(start, room.NewReport(start, scarce, "one", priority.Level{}, 0))
	late.Record(start, cutting(start.Add(-room.Validity/2), "one", 3))
	if refused(late, 0) {
		t.Error("a report that arrived after a newer one of its target counts")
	}
	one := learnt(scarce)
	one.Record(start, cutting(start, "hot", 3))
	one.Record(start, room.NewReport(start, scarce, "calm", priority.Level{}, 0))
	one.Record(start, room.NewReport(start, scarce, "calmer", priority.Level{}, 0))
	if refused(one, 0) {
		t.Error("one hot target of three holds back roots")
	}
	seldom := learnt(scarce)
	for range 100 {
		seldom.Observe(join, []tree.Cost{{Service: join.Service, Calls: 1}})
	}
	seldom.Record(start, cutting(start, "one", 3))
	if refused(seldom, 0) {
		t.Error("a service that trees no longer reach holds them back")
	}
}

// TestLessImportantRootsDontBeginInstead checks over random reports that whenever a root is refused, one that is less
// important and needs the same services is refused too, whatever its workspace keeps at its own rank.
func TestLessImportantRootsDontBeginInstead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := learnt("visits", "media")
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			level := priority.Level{Priority: rapid.IntRange(0, 6).Draw(t, "cut"), Share: rapid.Float64Range(0, 1).Draw(t, "share"), ValidUntil: now.Add(1)}
			service := rapid.SampledFrom([]string{"visits", "media"}).Draw(t, "service")
			g.Record(now, room.NewReport(now, service, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "target")), level, 0))
			hash := rapid.Uint64().Draw(t, "hash")
			important, less := rapid.IntRange(0, 6).Draw(t, "important"), rapid.IntRange(0, 6).Draw(t, "less")
			if less <= important {
				continue
			}
			first := g.Decide(now, join, priority.Origin{Priority: important, Workspace: "a", RootHash: hash})
			second := g.Decide(now, join, priority.Origin{Priority: less, Workspace: "b", RootHash: hash / 2})
			if first.Refused && !second.Refused {
				t.Fatalf("rank %d is refused for %s while rank %d begins", important, first.Scarcest.Service, less)
			}
		}
	})
}

// TestTreesThatHardlyEverSucceedDontBegin plays backend servers that turn calls away though they have room: a tree of eight
// calls is held back where one call is worth a try, and begins again once they turn away less or their reports have run out.
func TestTreesThatHardlyEverSucceedDontBegin(t *testing.T) {
	single := priority.Callee{Service: scarce, Route: "visit-history"}
	for _, c := range []struct{ turnedAway, tree, single float64 }{{0, 1, 1}, {0.05, 1, 1}, {0.3, 0.46, 1}, {0.55, 0.01, 1}, {1, 0, 0}} {
		g := learnt(scarce)
		g.Observe(single, []tree.Cost{{Service: scarce, Calls: 1, SlotTime: time.Second / 30}})
		g.Record(start, room.NewReport(start, scarce, "one", priority.Level{}, c.turnedAway))
		begun := func(callee priority.Callee, at time.Time) (share float64) {
			for i := range 1000 {
				if !g.Decide(at, callee, priority.Origin{RootHash: uint64(i) * 0x9e3779b97f4a7c15}).Refused {
					share += 0.001
				}
			}
			return share
		}
		if got := begun(join, start); math.Abs(got-c.tree) > 0.05 {
			t.Errorf("%.2f are turned away: %.2f of the trees began, want %.2f", c.turnedAway, got, c.tree)
		}
		if got := begun(single, start); math.Abs(got-c.single) > 0.05 {
			t.Errorf("%.2f are turned away: %.2f of the single calls began, want %.2f", c.turnedAway, got, c.single)
		}
		if got := begun(join, start.Add(room.Validity)); got < 0.999 {
			t.Errorf("%.2f of the trees began after the last report", got)
		}
	}
}

// TestHoldsAreToldOnce checks that a service that is short for long causes one event at its beginning and one at its end.
func TestHoldsAreToldOnce(t *testing.T) {
	var events []tree.Event
	g := tree.NewGate(tree.WithEvents(func(e tree.Event) { events = append(events, e) }))
	g.Observe(join, []tree.Cost{{Service: scarce, Calls: 8, SlotTime: time.Second / 5}})
	for ms := range 20_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		level := priority.Level{}
		if ms < 10_000 && ms%2_000 < 1_000 {
			level = priority.Level{Priority: 3, ValidUntil: now.Add(1)}
		}
		g.Record(now, room.NewReport(now, scarce, "one", level, 0))
		g.Decide(now, join, origin(5))
	}
	if len(events) != 2 || !events[0].Holding || events[1].Holding || g.Held()[scarce].Requests != events[1].Refused {
		t.Errorf("events %+v, held %+v", events, g.Held())
	}
}

// BenchmarkDecide measures one decision at an entry that knows 64 routes with three services below each.
func BenchmarkDecide(b *testing.B) {
	g := tree.NewGate()
	callees := make([]priority.Callee, 64)
	for i := range callees {
		callees[i] = priority.Callee{Service: fmt.Sprint("service-", i%8), Route: fmt.Sprint("route-", i)}
		g.Observe(callees[i], []tree.Cost{{Service: "visits", Calls: 8}, {Service: "media", Calls: 2}, {Service: callees[i].Service, Calls: 1}})
	}
	level := priority.Level{Priority: 5, ValidUntil: start.Add(1)}
	for i := range 16 {
		level.Workspaces = append(level.Workspaces, priority.WorkspaceShare{Workspace: priority.WorkspaceHash(i << 28), Share: 0.5})
	}
	for i := range 8 {
		g.Record(start, room.NewReport(start, "visits", fmt.Sprint(i), level, 0))
	}
	from := origin(5)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		from.RootHash = uint64(i) << 32
		g.Decide(start, callees[i%64], from)
	}
}

// BenchmarkRecord measures the report of one target, with 16 workspaces.
func BenchmarkRecord(b *testing.B) {
	g := learnt(scarce)
	level := priority.Level{Priority: 5, ValidUntil: start.Add(1), Workspaces: make([]priority.WorkspaceShare, 16)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		level.Share = float64(i%7) / 7
		g.Record(start, room.Report{Service: scarce, Target: room.TargetHash(i % 8), Cut: priority.Level{Priority: 5, Share: level.Share, Workspaces: level.Workspaces, ValidUntil: start.Add(room.Validity)}})
	}
}

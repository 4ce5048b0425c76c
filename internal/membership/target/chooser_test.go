package target_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/priority"
)

func newTableAndChooser(t testing.TB, domains ...string) (*target.Table, *target.Chooser) {
	t.Helper()
	table := target.NewTable()
	var changes []target.Change
	for i, domain := range domains {
		to := announced(fmt.Sprint("t", i), "wind", 1, target.Ready)
		to.FailureDomain = domain
		changes = append(changes, target.Change{Target: to})
	}
	if err := table.Apply(1, 0, 1, true, changes); err != nil {
		t.Fatal(err)
	}
	return table, target.NewChooser(table, target.WithFailureDomain("east"), target.WithDaemon("own"))
}

// countChoices returns how many of n choices go to each target.
func countChoices(c *target.Chooser, now time.Time, n int) map[string]int {
	random := rand.New(rand.NewPCG(1, 2))
	counts := make(map[string]int)
	for range n {
		if choice, ok, _ := c.Choose(now, random.Uint64(), "wind", priority.Origin{RootHash: random.Uint64(), Priority: 0}, nil); ok {
			counts[choice.Target.Name]++
		}
	}
	return counts
}

func TestOwnDomainFirstWhileItServes(t *testing.T) {
	_, c := newTableAndChooser(t, "east", "east", "west", "west")
	if got := countChoices(c, start, 100); got["t0"]+got["t1"] != 100 {
		t.Errorf("choices %v, want only the own failure domain", got)
	}
	pressure := priority.Level{Priority: 3, Share: 0.5, ValidUntil: start.Add(time.Second)}
	for _, name := range []string{"t0", "t1"} {
		c.Sent(start, name)
		c.Answered(start, name, target.Observation{Kind: target.OK, Latency: time.Millisecond, Level: pressure})
	}
	if got := countChoices(c, start, 100); got["t2"]+got["t3"] == 0 {
		t.Errorf("choices %v, want other failure domains once the own one is under pressure", got)
	}
}

func TestDrainedAndSilentGetNothing(t *testing.T) {
	table, c := newTableAndChooser(t, "east", "east", "east")
	table.MarkDraining("t0", 1)
	c.Sent(start, "t1")
	late := start.Add(4 * time.Second)
	c.Sent(late, "t2")
	c.Sent(late, "t2")
	if got := countChoices(c, late, 100); got["t2"] != 100 {
		t.Errorf("choices %v, want only t2", got)
	}
	c.RecordHeartbeat(late, "t1")
	if got := countChoices(c, late, 100); got["t1"] == 0 {
		t.Errorf("choices %v, want t1 again after a heartbeat", got)
	}
	stale := []target.Change{{Target: announced("t0", "wind", 1, target.Ready)}}
	if err := table.Apply(1, 1, 2, false, stale); err != nil {
		t.Fatal(err)
	}
	if got := countChoices(c, late, 100); got["t0"] != 0 {
		t.Errorf("choices %v: a late announcement reversed a drain", got)
	}
}

// TestFastErrorsDoNotAttract checks that a target does not attract calls by failing fast. It counts the calls to a
// target that fails all of them, or some but too few in a row for an ejection, and does the same for errors of the
// backend server.
func TestFastErrorsDoNotAttract(t *testing.T) {
	for _, c := range []struct {
		kind                target.AnswerKind
		errorsOf5, maxCalls int
	}{
		{target.Failed, 1, 200},
		{target.Failed, 2, 100},
		{target.Failed, 5, 50},
		{target.Errored, 1, 200},
		{target.Errored, 2, 100},
		{target.Errored, 5, 50},
	} {
		_, chooser := newTableAndChooser(t, "east", "east")
		random := rand.New(rand.NewPCG(3, 4))
		now, calls := start, 0
		for range 1000 {
			now = now.Add(100 * time.Millisecond)
			choice, ok, _ := chooser.Choose(now, random.Uint64(), "wind", priority.Origin{RootHash: 0, Priority: 0}, nil)
			if !ok {
				t.Fatal("no target")
			}
			chooser.Sent(now, choice.Target.Name)
			o := target.Observation{Kind: target.OK, Latency: 60 * time.Millisecond}
			if choice.Target.Name == "t0" {
				if calls%5 < c.errorsOf5 {
					o = target.Observation{Kind: c.kind, Latency: 100 * time.Microsecond}
				}
				calls++
			}
			chooser.Answered(now, choice.Target.Name, o)
		}
		if calls > c.maxCalls {
			t.Errorf("a target that answers %d of 5 as %s got %d of 1000 calls, want at most %d", c.errorsOf5, c.kind, calls, c.maxCalls)
		}
	}
}

// TestErrorsOfAllTargetsEjectNone checks that all targets of a service stay in use evenly if all of them answer with
// errors, as happens when a service that they depend on is overloaded.
func TestErrorsOfAllTargetsEjectNone(t *testing.T) {
	_, c := newTableAndChooser(t, "east", "east", "east", "east")
	for i := range 400 {
		name := fmt.Sprint("t", i%4)
		c.Sent(start, name)
		c.Answered(start, name, target.Observation{Kind: target.Errored, Latency: 20 * time.Millisecond})
	}
	for name, n := range countChoices(c, start, 1000) {
		if n < 150 {
			t.Errorf("%s got %d of 1000 calls", name, n)
		}
	}
	if got := len(countChoices(c, start, 1000)); got != 4 {
		t.Errorf("%d of 4 targets in use", got)
	}
}

// TestFailureDomainLost checks that a service with 90 targets is served by the other failure domains if the own one
// becomes unreachable.
func TestFailureDomainLost(t *testing.T) {
	domains := make([]string, 90)
	for i := range domains {
		domains[i] = []string{"east", "west", "north"}[i%3]
	}
	_, c := newTableAndChooser(t, domains...)
	for i := 0; i < 90; i += 3 {
		c.Answered(start, fmt.Sprint("t", i), target.Observation{Kind: target.Unreachable})
	}
	counts := countChoices(c, start, 1000)
	total := 0
	for name, n := range counts {
		var i int
		fmt.Sscanf(name, "t%d", &i)
		if i%3 == 0 {
			t.Errorf("%s of the lost failure domain was chosen", name)
		}
		total += n
	}
	if total != 1000 || len(counts) != 60 {
		t.Errorf("%d choices of %d targets, want 1000 of 60", total, len(counts))
	}
}

func TestAtMostHalfOfTheTargetsAreEjected(t *testing.T) {
	_, c := newTableAndChooser(t, "east", "east", "east", "east")
	for i := range 4 {
		for range 20 {
			c.Answered(start, fmt.Sprint("t", i), target.Observation{Kind: target.Failed})
		}
	}
	if got := countChoices(c, start, 100); len(got) != 2 {
		t.Errorf("choices %v, want half of the targets in use", got)
	}
}

// TestShedsWhereAllTargetsShed checks that a request is shed only if every target sheds its hash, which gives the same
// result at every daemon, and that a shed request does not go to an ejected target.
func TestShedsWhereAllTargetsShed(t *testing.T) {
	_, c := newTableAndChooser(t, "east", "east", "east")
	c.Answered(start, "t2", target.Observation{Kind: target.Unreachable})
	setLevel := func(name string, share float64) {
		level := priority.Level{Priority: 1, Share: share, ValidUntil: start.Add(time.Second)}
		c.Answered(start, name, target.Observation{Kind: target.OK, Latency: time.Millisecond, Level: level})
	}
	setLevel("t0", 1)
	setLevel("t1", 0.3)
	shed := 0
	for hash := range uint64(1000) {
		_, ok, isShed := c.Choose(start, 7, "wind", priority.Origin{RootHash: hash * 0x9e3779b97f4a7c15, Priority: 1}, nil)
		if ok == isShed {
			t.Fatal("neither chosen nor shed")
		}
		if isShed {
			shed++
		}
	}
	if shed < 250 || shed > 350 {
		t.Errorf("%d of 1000 shed, want about 300", shed)
	}
	if _, ok, _ := c.Choose(start, 7, "wind", priority.Origin{RootHash: 0, Priority: 0}, nil); !ok {
		t.Error("a request of a more important priority was shed")
	}
	if _, ok, shed := c.Choose(start, 7, "wind", priority.Origin{RootHash: 0, Priority: 2}, nil); ok || !shed {
		t.Error("a request that all healthy targets shed went to an ejected one")
	}
}

func TestExcludedAndUnreachable(t *testing.T) {
	_, c := newTableAndChooser(t, "east", "east", "east")
	c.Answered(start, "t0", target.Observation{Kind: target.Unreachable})
	choice, ok, _ := c.Choose(start, 1, "wind", priority.Origin{RootHash: 0, Priority: 0}, []string{"t1"})
	if !ok || choice.Target.Name != "t2" {
		t.Errorf("chose %+v, want t2", choice)
	}
	if got := countChoices(c, start.Add(2*time.Second), 300); got["t0"] == 0 {
		t.Errorf("choices %v, want t0 in use again after its ejection", got)
	}
}

func TestSlowStart(t *testing.T) {
	table, c := newTableAndChooser(t, "east", "east", "east")
	joining := announced("t9", "wind", 1, target.Ready)
	if err := table.Apply(1, 1, 2, false, []target.Change{{Target: joining}}); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		for range 5 {
			c.Sent(start, fmt.Sprint("t", i))
		}
	}
	early := countChoices(c, start, 400)
	if early["t9"] != 0 && early["t9"] >= 200 {
		t.Errorf("choices %v, want a joining target to start slowly", early)
	}
	for range 6 {
		c.Sent(start, "t9")
	}
	if late := countChoices(c, start.Add(time.Second), 400); late["t9"] != 0 {
		t.Errorf("choices %v, want a joining target to get no more than its weight", late)
	}
}

// TestServiceShedsWhatHalfOfItsTargetsShed checks that one overloaded target does not shed for its whole service, and
// that targets whose level has expired don't count.
func TestServiceShedsWhatHalfOfItsTargetsShed(t *testing.T) {
	origin := priority.Origin{Priority: 1}
	for _, c := range []struct {
		name   string
		shares []float64 // shed by each target; negative for an expired level
		want   float64
	}{
		{"none", []float64{0, 0, 0, 0}, 0},
		{"one hot", []float64{0.9, 0, 0, 0}, 0},
		{"half", []float64{0.9, 0.4, 0, 0}, 0},
		{"three of four", []float64{0.9, 0.4, 0.6, 0}, 0.4},
		{"all", []float64{0.9, 0.4, 0.6, 0.5}, 0.5},
		{"one known", []float64{0.3, -1, -1, -1}, 0.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, chooser := newTableAndChooser(t, "east", "east", "west", "west")
			for i, share := range c.shares {
				level := priority.Level{Priority: 1, Share: share, ValidUntil: start.Add(time.Second)}
				if share < 0 {
					level.ValidUntil = start
				}
				if share == 0 {
					level = priority.Level{}
				}
				chooser.Answered(start, fmt.Sprint("t", i), target.Observation{Kind: target.OK, Latency: time.Millisecond, Level: level})
			}
			level := chooser.Level(start, "wind")
			if got := level.ShareAt(start, origin); got != c.want {
				t.Errorf("%v shed, want %v", got, c.want)
			}
		})
	}
}

package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/quarantine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeFleet runs requests at fake targets, each with a daemon's watch and list, and one register.
type fakeFleet struct {
	t        *rapid.T
	now      time.Time
	register *quarantine.Register
	targets  []*fakeTarget
	killers  map[quarantine.Fingerprint]int // targets lost to each
	shared   map[quarantine.Fingerprint]int // crashes that an innocent was in flight at
	crashes  int
}

type fakeTarget struct {
	name  string
	watch *quarantine.Watch
	list  *quarantine.List
	runs  []fakeRun
}

type fakeRun struct {
	run   quarantine.Run
	fp    quarantine.Fingerprint
	trial bool
}

func (f *fakeFleet) spread() {
	for _, target := range f.targets {
		entries, cleared, to, whole := f.register.Delta(target.list.Version())
		target.list.Apply(to, whole, entries, cleared)
	}
}

// send offers a request to a target as its daemon would.
func (f *fakeFleet) send(target *fakeTarget, fp quarantine.Fingerprint) {
	trial := false
	switch target.list.Verdict(f.now, fp) {
	case quarantine.Quarantined:
		return
	case quarantine.Suspect:
		if trial = f.register.Trial(f.now, fp, target.name); !trial {
			return
		}
	}
	target.runs = append(target.runs, fakeRun{target.watch.Start(fp), fp, trial})
}

// end lets one run end: a killer crashes its target, an innocent runs whole or is cancelled.
func (f *fakeFleet) end(target *fakeTarget, i int) {
	r := target.runs[i]
	if _, kills := f.killers[r.fp]; kills {
		f.crash(target, r.fp)
		return
	}
	target.runs = append(target.runs[:i], target.runs[i+1:]...)
	if !target.watch.End(r.run) {
		f.t.Fatal("a run that no crash touched did not end whole")
	}
	if r.trial && rapid.IntRange(0, 3).Draw(f.t, "cancelled") == 0 {
		f.register.EndTrial(f.now, r.fp, target.name)
	} else if target.list.Verdict(f.now, r.fp) == quarantine.Suspect && f.register.Ran(f.now, r.fp, target.name) {
		f.shared[r.fp] = 0
	}
}

// crash reports what was in flight; the answer to the caller waits until all lists know.
func (f *fakeFleet) crash(target *fakeTarget, killer quarantine.Fingerprint) {
	f.killers[killer]++
	f.crashes++
	fps := target.watch.Crash()
	for _, fp := range fps {
		f.shared[fp]++
	}
	for _, r := range target.runs {
		if target.watch.End(r.run) {
			f.t.Fatal("a run at a crash ended whole")
		}
	}
	target.runs = nil
	id := fmt.Sprint("crash ", f.crashes)
	f.register.Report(f.now, id, target.name, fps)
	if again := f.register.Report(f.now, id, target.name, fps); len(again) > 0 {
		f.t.Fatal("one crash counted twice")
	}
	f.spread()
}

// inFlight reports whether the caller of fp still waits for an answer.
func (f *fakeFleet) inFlight(fp quarantine.Fingerprint) bool {
	for _, target := range f.targets {
		for _, r := range target.runs {
			if r.fp == fp {
				return true
			}
		}
	}
	return false
}

// TestTwoTargetsLostAtMost checks the bound for callers that wait for the first answer, then send as often as
// they like to any daemon, and that an innocent is only quarantined after two crashes without a whole run in between.
func TestTwoTargetsLostAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeFleet{
			t: t, now: start, register: quarantine.NewRegister(),
			killers: make(map[quarantine.Fingerprint]int), shared: make(map[quarantine.Fingerprint]int),
		}
		for i := range 4 {
			f.targets = append(f.targets, &fakeTarget{fmt.Sprint("t", i), quarantine.NewWatch(), quarantine.NewList(), nil})
		}
		var fps []quarantine.Fingerprint
		for i := range 5 {
			fps = append(fps, quarantine.Of([]byte(fmt.Sprint("request ", i))))
		}
		f.killers[fps[0]], f.killers[fps[1]] = 0, 0
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			target := rapid.SampledFrom(f.targets).Draw(t, "target")
			fp := rapid.SampledFrom(fps).Draw(t, "request")
			_, kills := f.killers[fp]
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op < 3 && (!kills || f.killers[fp] > 0 || !f.inFlight(fp)):
				f.send(target, fp)
			case op < 5 && len(target.runs) > 0:
				f.end(target, rapid.IntRange(0, len(target.runs)-1).Draw(t, "run"))
			default:
				f.spread()
			}
			for killer, lost := range f.killers {
				if lost > 2 {
					t.Fatalf("%d targets lost to %s", lost, killer)
				}
			}
		}
		for _, e := range f.register.Entries() {
			if _, kills := f.killers[e.Fingerprint]; !kills && e.State == quarantine.Quarantined && f.shared[e.Fingerprint] < 2 {
				t.Fatalf("an innocent is quarantined: %+v", e)
			}
		}
	})
}

func TestPartsDoNotRunIntoEachOther(t *testing.T) {
	if quarantine.Of([]byte("a"), []byte("b")) == quarantine.Of([]byte("ab")) {
		t.Error("two parts have the fingerprint of one")
	}
}

func TestSnapshotKeepsEntries(t *testing.T) {
	r := quarantine.NewRegister(quarantine.WithBound(3))
	var fps []quarantine.Fingerprint
	for i := range 5 {
		fps = append(fps, quarantine.Of([]byte{byte(i)}))
	}
	r.Report(start, "1", "t1", fps[:1])
	r.Report(start, "2", "t2", fps)
	if got := r.Entries(); len(got) != 3 {
		t.Fatalf("%d entries, want the bound of 3", len(got))
	}
	data, err := r.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	restored := quarantine.NewRegister()
	if err := restored.UnmarshalBinary(data); err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(restored.Entries()) != fmt.Sprint(r.Entries()) || restored.Version() != r.Version() {
		t.Errorf("restored %v, want %v", restored.Entries(), r.Entries())
	}
	list := quarantine.NewList()
	entries, cleared, to, whole := restored.Delta(0)
	list.Apply(to, whole, entries, cleared)
	if list.Verdict(start, fps[0]) != quarantine.Quarantined {
		t.Error("a quarantined fingerprint was dropped before suspects, or got lost in the snapshot")
	}
	for _, bad := range []string{"", "{", `{"format":2}`, `{"format":1,"entries":[{"fingerprint":"xy"}]}`} {
		if err := restored.UnmarshalBinary([]byte(bad)); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/quarantine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeFleet runs requests at fake targets, which each have a daemon's watch and list, and shares one register.
type fakeFleet struct {
	t             *rapid.T
	now           time.Time
	register      *quarantine.Register
	targets       []*fakeTarget
	targetsLost   map[quarantine.Fingerprint]int // targets crashed by each crashing request
	crashesShared map[quarantine.Fingerprint]int // crashes with the request in flight since its last completed run
	crashes       int
}

type fakeTarget struct {
	name  string
	watch *quarantine.InFlight
	list  *quarantine.List
	runs  []fakeRun
}

type fakeRun struct {
	run   quarantine.Run
	fp    quarantine.Fingerprint
	trial bool
}

func (f *fakeFleet) syncLists() {
	for _, target := range f.targets {
		entries, cleared, to, full := f.register.Delta(target.list.Version())
		target.list.Apply(to, full, entries, cleared)
	}
}

// send starts a request at a target if the daemon's list and the register allow it.
func (f *fakeFleet) send(target *fakeTarget, fp quarantine.Fingerprint) {
	trial := false
	switch target.list.State(f.now, fp) {
	case quarantine.Quarantined:
		return
	case quarantine.Suspect:
		if trial = f.register.RequestTrial(f.now, fp, target.name); !trial {
			return
		}
	}
	target.runs = append(target.runs, fakeRun{target.watch.Start(fp), fp, trial})
}

// endRun ends one run. A crashing request crashes its target, a harmless one completes or is cancelled.
func (f *fakeFleet) endRun(target *fakeTarget, i int) {
	r := target.runs[i]
	if _, crashes := f.targetsLost[r.fp]; crashes {
		f.crash(target, r.fp)
		return
	}
	target.runs = append(target.runs[:i], target.runs[i+1:]...)
	if !target.watch.End(r.run) {
		f.t.Fatal("End reported a crash for a run without a crash")
	}
	if r.trial && rapid.IntRange(0, 3).Draw(f.t, "cancelled") == 0 {
		f.register.EndTrial(f.now, r.fp, target.name)
	} else if target.list.State(f.now, r.fp) == quarantine.Suspect && f.register.RecordCompletion(f.now, r.fp, target.name) {
		f.crashesShared[r.fp] = 0
	}
}

// crash crashes a target and reports the fingerprints in flight. All lists are updated before a caller gets its answer.
func (f *fakeFleet) crash(target *fakeTarget, crasher quarantine.Fingerprint) {
	f.targetsLost[crasher]++
	f.crashes++
	fps := target.watch.Crash()
	for _, fp := range fps {
		f.crashesShared[fp]++
	}
	for _, r := range target.runs {
		if target.watch.End(r.run) {
			f.t.Fatal("End reported no crash for a run in flight at a crash")
		}
	}
	target.runs = nil
	id := fmt.Sprint("crash ", f.crashes)
	f.register.RecordCrash(f.now, id, target.name, fps)
	if again := f.register.RecordCrash(f.now, id, target.name, fps); len(again) > 0 {
		f.t.Fatal("the register counted one crash twice")
	}
	f.syncLists()
}

// inFlight reports whether a request with the fingerprint is running, so that its caller still waits for an answer.
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

// TestTwoTargetsLostAtMost checks that a crashing request crashes at most two targets if its caller waits for the first
// answer before it resends, after which it may resend to any daemon any number of times. It also checks that a harmless
// request is quarantined only after two crashes without a completed run in between.
func TestTwoTargetsLostAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeFleet{
			t: t, now: start, register: quarantine.NewRegister(),
			targetsLost: make(map[quarantine.Fingerprint]int), crashesShared: make(map[quarantine.Fingerprint]int),
		}
		for i := range 4 {
			f.targets = append(f.targets, &fakeTarget{fmt.Sprint("t", i), quarantine.NewInFlight(), quarantine.NewList(), nil})
		}
		var fps []quarantine.Fingerprint
		for i := range 5 {
			fps = append(fps, quarantine.NewFingerprint([]byte(fmt.Sprint("request ", i))))
		}
		f.targetsLost[fps[0]], f.targetsLost[fps[1]] = 0, 0
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			target := rapid.SampledFrom(f.targets).Draw(t, "target")
			fp := rapid.SampledFrom(fps).Draw(t, "request")
			_, crashes := f.targetsLost[fp]
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op < 3 && (!crashes || f.targetsLost[fp] > 0 || !f.inFlight(fp)):
				f.send(target, fp)
			case op < 5 && len(target.runs) > 0:
				f.endRun(target, rapid.IntRange(0, len(target.runs)-1).Draw(t, "run"))
			default:
				f.syncLists()
			}
			for crasher, lost := range f.targetsLost {
				if lost > 2 {
					t.Fatalf("%d targets crashed by request %s, want at most 2", lost, crasher)
				}
			}
		}
		for _, e := range f.register.Entries() {
			if _, crashes := f.targetsLost[e.Fingerprint]; !crashes && e.State == quarantine.Quarantined && f.crashesShared[e.Fingerprint] < 2 {
				t.Fatalf("a harmless request is quarantined: %+v", e)
			}
		}
	})
}

func TestPartsDoNotRunIntoEachOther(t *testing.T) {
	if quarantine.NewFingerprint([]byte("a"), []byte("b")) == quarantine.NewFingerprint([]byte("ab")) {
		t.Error("the parts \"a\" and \"b\" have the fingerprint of \"ab\"")
	}
}

func TestSnapshotKeepsEntries(t *testing.T) {
	r := quarantine.NewRegister(quarantine.WithMaximumEntries(3))
	var fps []quarantine.Fingerprint
	for i := range 5 {
		fps = append(fps, quarantine.NewFingerprint([]byte{byte(i)}))
	}
	r.RecordCrash(start, "1", "t1", fps[:1])
	r.RecordCrash(start, "2", "t2", fps)
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
	entries, cleared, to, full := restored.Delta(0)
	list.Apply(to, full, entries, cleared)
	if list.State(start, fps[0]) != quarantine.Quarantined {
		t.Error("a quarantined fingerprint was evicted before suspects or is missing from the snapshot")
	}
	for _, bad := range []string{"", "{", `{"format":2}`, `{"format":1,"entries":[{"fingerprint":"xy"}]}`} {
		if err := restored.UnmarshalBinary([]byte(bad)); err == nil {
			t.Errorf("UnmarshalBinary(%q) returned no error", bad)
		}
	}
}

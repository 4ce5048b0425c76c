package departure_test

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/internal/membership/departure"
)

const (
	retention = time.Hour
	starts    = 5
)

var epoch = time.Unix(1_700_000_000, 0).UTC()

func startOf(i int) time.Time { return epoch.Add(time.Duration(i) * time.Millisecond) }

// TestDepartedProcessesStayGone records drawn departures and restores the register from its snapshots in between. Within
// the retention the phase of a process never goes back, a process that was replaced has left, and one that started after
// all departures is not affected.
func TestDepartedProcessesStayGone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := departure.NewRegister(departure.WithRetention(retention))
		at := epoch
		type process struct {
			name  string
			start int
		}
		reached := make(map[process]departure.Phase)
		newest := make(map[string]int)
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 60).Draw(rt, "seconds")) * time.Second)
			p := process{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "name"), rapid.IntRange(1, starts).Draw(rt, "start")}
			phase := rapid.SampledFrom([]departure.Phase{departure.Draining, departure.Left}).Draw(rt, "phase")
			if recorded := r.Record(at, departure.Departure{Target: p.name, StartedAt: startOf(p.start), Phase: phase}); recorded != (p.start >= newest[p.name]) {
				rt.Fatalf("%v recorded: %t, newest %d", p, recorded, newest[p.name])
			}
			newest[p.name] = max(newest[p.name], p.start)
			reached[p] = max(reached[p], phase)
			if rapid.Bool().Draw(rt, "restore") {
				r = restored(rt, r)
			}
			for p, phase := range reached {
				want := phase
				if p.start < newest[p.name] {
					want = departure.Left
				}
				if got := r.Phase(p.name, startOf(p.start)); got != want {
					rt.Fatalf("%v: phase %d, want %d", p, got, want)
				}
			}
			if got := r.Phase(p.name, startOf(newest[p.name]+1)); got != departure.None {
				rt.Fatalf("the next process of %s has phase %d", p.name, got)
			}
		}
	})
}

func restored(t *rapid.T, r *departure.Register) *departure.Register {
	encoded, err := r.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	other := departure.NewRegister(departure.WithRetention(retention))
	if err := other.UnmarshalBinary(encoded); err != nil {
		t.Fatal(err)
	}
	if again, err := other.MarshalBinary(); err != nil || !bytes.Equal(again, encoded) {
		t.Fatalf("restored as %s, want %s (%v)", again, encoded, err)
	}
	return other
}

// TestDeparturesAreForgottenAfterTheRetention guards against a register that grows with each process that ever left.
func TestDeparturesAreForgottenAfterTheRetention(t *testing.T) {
	r := departure.NewRegister(departure.WithRetention(retention))
	r.Record(epoch, departure.Departure{Target: "a", StartedAt: startOf(1), Phase: departure.Left})
	r.Record(epoch.Add(retention), departure.Departure{Target: "b", StartedAt: startOf(1), Phase: departure.Left})
	if r.Phase("a", startOf(1)) != departure.None || r.Phase("b", startOf(1)) != departure.Left {
		t.Error("the retention does not hold")
	}
}

// TestOddDeparturesChangeNothing guards against entries that name no process, and against snapshots that can't be read.
func TestOddDeparturesChangeNothing(t *testing.T) {
	r := departure.NewRegister()
	r.Record(epoch, departure.Departure{Target: "a", StartedAt: startOf(1), Phase: departure.Left})
	for _, odd := range []departure.Departure{
		{StartedAt: startOf(2), Phase: departure.Left},
		{Target: "a", Phase: departure.Left},
		{Target: "a", StartedAt: startOf(2)},
		{Target: "a", StartedAt: startOf(2), Phase: 7},
	} {
		if r.Record(epoch, odd) {
			t.Errorf("%+v was recorded", odd)
		}
	}
	for _, data := range []string{"{", `{"format":2}`} {
		if r.UnmarshalBinary([]byte(data)) == nil {
			t.Errorf("%q was restored", data)
		}
	}
	if r.Phase("a", startOf(1)) != departure.Left || r.Phase("a", startOf(2)) != departure.None {
		t.Error("the register has changed")
	}
	if err := r.UnmarshalBinary(nil); err != nil || r.Phase("a", startOf(1)) != departure.None {
		t.Errorf("a snapshot without departures: %v", err)
	}
}

package evacuation_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/internal/membership/evacuation"
)

var epoch = time.Unix(1_700_000_000, 0).UTC()

// TestTheLastOrderHolds applies drawn orders, each perhaps sent again, and restores the register from its snapshots in
// between. Each domain is as its last order says, and the version counts the changes only.
func TestTheLastOrderHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := evacuation.NewRegister()
		since := make(map[string]time.Time)
		changes := uint64(0)
		at := epoch
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			at = at.Add(time.Second)
			o := evacuation.Order{Domain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "domain"), Out: rapid.Bool().Draw(rt, "out")}
			if _, out := since[o.Domain]; out != o.Out {
				changes++
				if o.Out {
					since[o.Domain] = at
				} else {
					delete(since, o.Domain)
				}
			}
			for range rapid.IntRange(1, 3).Draw(rt, "times sent") {
				if !r.Apply(at, o) {
					rt.Fatalf("%+v was refused", o)
				}
			}
			if rapid.Bool().Draw(rt, "restore") {
				r = restored(rt, r)
			}
			state := r.State(7)
			if state.Version != changes || state.Cluster != 7 || !slices.IsSorted(state.Domains) || len(state.Domains) != len(since) {
				rt.Fatalf("state %+v after %d changes, want %v", state, changes, since)
			}
			for domain, want := range since {
				if got, out := r.Since(domain); !out || !got.Equal(want) || !state.Out(domain) {
					rt.Fatalf("%s out of use: %t since %s, want since %s", domain, out, got, want)
				}
			}
		}
	})
}

func restored(t *rapid.T, r *evacuation.Register) *evacuation.Register {
	encoded, err := r.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	other := evacuation.NewRegister()
	if err := other.UnmarshalBinary(encoded); err != nil {
		t.Fatal(err)
	}
	if again, err := other.MarshalBinary(); err != nil || !bytes.Equal(again, encoded) {
		t.Fatalf("restored as %s, want %s (%v)", again, encoded, err)
	}
	return other
}

// TestOddOrdersChangeNothing guards against names that no failure domain has, more domains than the state can hold, and
// snapshots that can't be read.
func TestOddOrdersChangeNothing(t *testing.T) {
	r := evacuation.NewRegister()
	r.Apply(epoch, evacuation.Order{Domain: "a", Out: true})
	for _, name := range []string{"", "a b", "a\n", "ä", strings.Repeat("a", 129)} {
		if r.Apply(epoch, evacuation.Order{Domain: name, Out: true}) {
			t.Errorf("%q was taken out of use", name)
		}
	}
	for _, data := range []string{"{", `{"format":2}`} {
		if r.UnmarshalBinary([]byte(data)) == nil {
			t.Errorf("%q was restored", data)
		}
	}
	if got := r.State(0); got.Version != 1 || !slices.Equal(got.Domains, []string{"a"}) {
		t.Errorf("the register has changed: %+v", got)
	}
	for i := range 63 {
		r.Apply(epoch, evacuation.Order{Domain: fmt.Sprint("domain-", i), Out: true})
	}
	if r.Apply(epoch, evacuation.Order{Domain: "b", Out: true}) || !r.Apply(epoch, evacuation.Order{Domain: "a", Out: true}) {
		t.Error("a full register took a further domain, or refused one that it holds")
	}
	if err := r.UnmarshalBinary(nil); err != nil || r.Version() != 0 {
		t.Errorf("a snapshot without orders: %v", err)
	}
}

package completion_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/internal/routing/completion"
)

// TestFewCallsExceedTheBound checks that no more than a sixth of later calls of the same kind take longer than the bound
// says, and that the bound of steady calls is close to what they take.
func TestFewCallsExceedTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usual := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(5*time.Second)).Draw(t, "usual"))
		spread := rapid.Float64Range(0, 1).Draw(t, "spread")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		draw := func() time.Duration {
			return usual + time.Duration(spread*random.Float64()*float64(usual))
		}
		d := completion.NewDurations[string](2)
		for range 50 {
			d.Observe("a", draw())
		}
		mean, bound, known := d.Expect("a")
		if !known {
			t.Fatal("fifty calls say nothing")
		}
		if mean < usual || mean > 2*usual {
			t.Errorf("the mean of calls of %s to %s is %s", usual, 2*usual, mean)
		}
		const later = 60
		longer := 0
		for range later {
			if draw() > bound {
				longer++
			}
		}
		if longer > later/6 {
			t.Errorf("%d of %d calls take longer than %s", longer, later, bound)
		}
		if bound > usual*5 {
			t.Errorf("the bound of calls of %s to %s is %s", usual, 2*usual, bound)
		}
	})
}

// TestDurationsAreKeptForTheNewestKeys guards against estimates from single calls and for any number of keys.
func TestDurationsAreKeptForTheNewestKeys(t *testing.T) {
	d := completion.NewDurations[int](2)
	for key := range 3 {
		for i := range 8 {
			if _, _, known := d.Expect(key); known {
				t.Errorf("%d calls of %d are enough", i, key)
			}
			d.Observe(key, time.Second)
		}
	}
	for key, want := range map[int]bool{0: false, 1: true, 2: true} {
		if _, _, known := d.Expect(key); known != want {
			t.Errorf("key %d: known %t, want %t", key, known, want)
		}
	}
}

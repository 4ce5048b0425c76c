package locality_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/internal/routing/locality"
)

// run updates s for a time with the samples that near returns for the share, and returns the changes reported.
func run(s *locality.Spill, from, span time.Duration, sample func(share float64) locality.Sample) (changes []locality.Change) {
	for at := from; at < from+span; at += locality.Interval {
		if change := s.Update(at, sample(s.Share())); change != locality.None {
			changes = append(changes, change)
		}
	}
	return changes
}

// TestCallsStayWhileNearHasRoom checks that no call leaves while near targets answer within a quarter of the objective,
// or no later than far ones at their price, and refuse no more than those.
func TestCallsStayWhileNearHasRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s locality.Spill
		objective := time.Second
		far := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "far"))
		allowed := max(objective/4, far*13/10)
		near := time.Duration(rapid.Int64Range(0, int64(allowed)).Draw(t, "near"))
		refusing := rapid.Float64Range(0, 1).Draw(t, "refusing")
		run(&s, 0, time.Minute, func(float64) locality.Sample {
			return locality.Sample{Near: near, Far: far, Idle: near, Objective: objective, Price: 1.3, NearRefusing: refusing, FarRefusing: refusing}
		})
		if s.Share() != 0 {
			t.Errorf("%.2f of the calls leave", s.Share())
		}
	})
}

// TestSlowNearTargetsKeepTheirCalls checks that calls stay at targets that are slower than far ones but not busy, while
// they are answered within half of the objective, and leave if their slots are taken.
func TestSlowNearTargetsKeepTheirCalls(t *testing.T) {
	var s locality.Spill
	sample := locality.Sample{Near: 60 * time.Millisecond, Idle: 58 * time.Millisecond, Far: 30 * time.Millisecond, Objective: 200 * time.Millisecond, Price: 1.3}
	run(&s, 0, 10*time.Second, func(float64) locality.Sample { return sample })
	if s.Share() != 0 {
		t.Errorf("%.2f of the calls leave targets that have room", s.Share())
	}
	sample.Near = 2 * sample.Idle
	run(&s, 10*time.Second, 10*time.Second, func(float64) locality.Sample { return sample })
	if s.Share() != 1 {
		t.Errorf("%.2f of the calls leave targets without room, want all", s.Share())
	}
}

// TestSurgeSpillsWhatIsNeededAndReturns plays a surge of a given size at near targets whose latency grows with the calls
// that stay beyond their capacity. The share must settle where they have room, without swinging, and end after it.
func TestSurgeSpillsWhatIsNeededAndReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s locality.Spill
		surge := rapid.Float64Range(1.2, 4).Draw(t, "surge")
		needed := 1 - 1/surge
		load := func(demand float64) func(float64) locality.Sample {
			return func(share float64) locality.Sample {
				stays := demand * (1 - share)
				near := 60 * time.Millisecond
				near += time.Duration(max(stays-0.95, 0) * float64(4*time.Second))
				return locality.Sample{Near: near, Far: 60 * time.Millisecond, Idle: 60 * time.Millisecond, Objective: 600 * time.Millisecond, Price: 1.3}
			}
		}
		changes := run(&s, 0, 5*time.Second, load(surge))
		low, high := 1.0, 0.0
		changes = append(changes, run(&s, 5*time.Second, 10*time.Second, func(share float64) locality.Sample {
			low, high = min(low, share), max(high, share)
			return load(surge)(share)
		})...)
		if low < needed-0.1 || high > needed+0.2 {
			t.Errorf("the share is from %.2f to %.2f, needed %.2f", low, high, needed)
		}
		changes = append(changes, run(&s, 15*time.Second, 10*time.Second, load(0.3))...)
		if s.Share() != 0 {
			t.Errorf("%.2f of the calls still leave after the surge", s.Share())
		}
		if len(changes) != 2 || changes[0] != locality.Begun || changes[1] != locality.Ended {
			t.Errorf("changes %v, want one spill", changes)
		}
	})
}

// TestUnknownFarTargetsAreTriedByFew checks that only a small share leaves before far targets have reported, and that it
// stops growing if they are no better.
func TestUnknownFarTargetsAreTriedByFew(t *testing.T) {
	var s locality.Spill
	sample := locality.Sample{Near: time.Second, Idle: 50 * time.Millisecond, Price: 1.3}
	run(&s, 0, 10*time.Second, func(float64) locality.Sample { return sample })
	if s.Share() <= 0 || s.Share() > 0.05 {
		t.Errorf("%.2f of the calls leave for targets of which nothing is known", s.Share())
	}
	sample.Far = time.Second
	run(&s, 10*time.Second, 10*time.Second, func(float64) locality.Sample { return sample })
	if s.Share() != 0 {
		t.Errorf("%.2f of the calls leave for targets that are no faster", s.Share())
	}
}

func TestShareOfCallsThatLeave(t *testing.T) {
	var s locality.Spill
	if s.Leaves(0) || s.Leaves(math.MaxUint64) {
		t.Error("a call leaves without a spill")
	}
	run(&s, 0, 300*time.Millisecond, func(float64) locality.Sample {
		return locality.Sample{Near: time.Second, Far: time.Millisecond}
	})
	left, random := 0, uint64(1)
	for range 10_000 {
		random = random*6364136223846793005 + 1442695040888963407
		if s.Leaves(random) {
			left++
		}
	}
	if got := float64(left) / 10_000; math.Abs(got-s.Share()) > 0.02 {
		t.Errorf("%.3f of the calls leave, want %.3f", got, s.Share())
	}
}

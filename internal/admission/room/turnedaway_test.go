package room_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"sapphirespread.example/internal/admission/room"
)

// TestTurnedAwayFollowsAndFades checks the mean estimate of a backend server that turns away at random, and that it fades
// while nothing runs.
func TestTurnedAwayFollowsAndFades(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	random := rand.New(rand.NewPCG(1, 1))
	var estimate room.TurnedAway
	for _, share := range []float64{0, 0.3, 1, 0.6, 0} {
		sum := 0.0
		for i := range 2000 {
			now = now.Add(time.Millisecond)
			estimate.Observe(now, random.Float64() < share)
			if i >= 1000 {
				sum += estimate.Share(now) / 1000
			}
		}
		if math.Abs(sum-share) > 0.05 {
			t.Errorf("%.2f are turned away, estimated %.2f", share, sum)
		}
	}
	estimate.Observe(now, true)
	if got := estimate.Share(now.Add(10 * time.Second)); got > 0.001 {
		t.Errorf("%.3f after 10 s without a run", got)
	}
}

package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sapphirespread.example/limit"
)

// TestFirstBurstSetsNoRateForASilence guards against a workspace that goes on at the speed of its first burst when its owner
// is lost right after it: the holders know no other rate yet. The bound is the quota of the first users' platform: rate and
// burst with a tenth more, and 20 requests.
func TestFirstBurstSetsNoRateForASilence(t *testing.T) {
	const (
		holders, rate, burst = 19, 512.0, 512
		length               = 12 * time.Second
		window               = 5 * time.Second
		quota                = 1.1*(rate*5+burst) + 20
	)
	for _, idle := range []time.Duration{0, 1500 * time.Millisecond} {
		for _, lostAfter := range []time.Duration{20, 100, 300, 500, 1200} {
			for _, factor := range []float64{3, 9, 27} {
				lostAfter := lostAfter * time.Millisecond
				t.Run(fmt.Sprintf("idle for %s, lost after %s, %.0f times the rate", idle, lostAfter, factor), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(2) {
						f := linkedFleet{
							bucket: limit.Bucket{Rate: rate, Burst: burst}, holders: holders, length: length,
							delay:  func(*rand.Rand, time.Duration, int) time.Duration { return 2 * time.Millisecond },
							cut:    func(time.Duration, int) bool { return false },
							lostAt: idle + lostAfter,
							demand: func(elapsed time.Duration) float64 {
								if elapsed < idle {
									return 0
								}
								return factor * rate
							},
						}
						if most := f.run(seed, window); float64(most) > quota {
							t.Errorf("seed %d: %d tokens spent within %s, want at most %.0f", seed, most, window, quota)
						}
					}
				})
			}
		}
	}
}

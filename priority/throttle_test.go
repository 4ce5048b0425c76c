package priority_test

import (
	"testing"
	"time"

	"sapphirespread.example/priority"
)

// TestThrottleLeavesRoomWhileNearlyAllFail simulates a downstream service of one route that rejects most
// calls for several seconds although it has capacity. A request that needs eight of these calls hardly ever
// succeeds but still uses capacity that other requests need. This happens with a fan-out to partially
// failing (grey) backend servers.
func TestThrottleLeavesRoomWhileNearlyAllFail(t *testing.T) {
	const (
		step             = 5 * time.Millisecond
		chain            = 300 * time.Millisecond // from the start of a request to its result
		failsFrom        = 5 * time.Second
		failsTo          = 15 * time.Second
		maxDoomedPassed  = 0.15 // share of the doomed requests that may pass once the failures are detected
		minHealthyPassed = 0.99 // share of the requests that must pass while nothing fails
	)
	callee := priority.Callee{Service: "calendar", Route: "browse"}
	for _, c := range []struct {
		name         string
		successEvery int // one in this many requests succeeds while the service fails
		throttled    bool
	}{
		{"hardly ever", 100, true},
		{"one of three", 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			throttle := priority.NewThrottle()
			ends := make(map[time.Time]bool)
			var doomed, doomedPassed, healthy, healthyPassed, passed int
			for i := range 5000 {
				now := start.Add(time.Duration(i) * step)
				at := now.Sub(start)
				if succeeded, ended := ends[now]; ended {
					throttle.RecordResult(now, callee, succeeded)
				}
				failing := at >= failsFrom && at < failsTo
				pass := !throttle.ShouldRefuse(now, callee, float64(i*7919%1000)/1000)
				if pass {
					passed++
					ends[now.Add(chain)] = !failing || passed%c.successEvery == 0
				}
				switch {
				case at >= failsFrom+3*time.Second && at < failsTo:
					doomed++
					if pass {
						doomedPassed++
					}
				case at < failsFrom || at >= failsTo+3*time.Second:
					healthy++
					if pass {
						healthyPassed++
					}
				}
			}
			if share := float64(doomedPassed) / float64(doomed); c.throttled && share > maxDoomedPassed || !c.throttled && share < 1 {
				t.Errorf("share of requests let through: %.2f, requests that succeed: %s", share, c.name)
			}
			if share := float64(healthyPassed) / float64(healthy); share < minHealthyPassed {
				t.Errorf("%.2f of the requests pass while nothing fails, want at least %.2f", share, minHealthyPassed)
			}
		})
	}
}

// TestThrottleLetsRareRoutesPass checks that a rarely used route is never refused, even if every request
// fails.
func TestThrottleLetsRareRoutesPass(t *testing.T) {
	throttle := priority.NewThrottle()
	for i := range 100 {
		if throttle.ShouldRefuse(start.Add(time.Duration(i)*500*time.Millisecond), priority.Callee{Service: "calendar", Route: "rare"}, 0) {
			t.Fatalf("request %d was refused", i)
		}
		throttle.RecordResult(start.Add(time.Duration(i)*500*time.Millisecond), priority.Callee{Service: "calendar", Route: "rare"}, false)
	}
}

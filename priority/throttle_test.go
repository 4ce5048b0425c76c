package priority_test

import (
	"testing"
	"time"

	"sapphirespread.example/priority"
)

// TestThrottleLeavesRoomWhileNearlyAllFail plays a service below one route that turns most calls away for some seconds though
// it has room: a request that needs eight of them hardly ever succeeds, and what it takes is missing elsewhere. The pattern
// is that of grey backend servers below a fan-out.
func TestThrottleLeavesRoomWhileNearlyAllFail(t *testing.T) {
	const (
		step      = 5 * time.Millisecond
		chain     = 300 * time.Millisecond // from the entry to the answer
		failsFrom = 5 * time.Second
		failsTo   = 15 * time.Second
		letDoomed = 0.15 // of the doomed requests that may still pass, once the failures are seen
		letWell   = 0.99 // of the requests that are to pass while nothing fails
	)
	browsing := priority.Callee{Service: "calendar", Route: "browse"}
	for _, c := range []struct {
		name      string
		succeeds  int // one of so many, while the service fails
		throttled bool
	}{
		{"hardly ever", 100, true},
		{"one of three", 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			throttle := priority.NewThrottle()
			ends := make(map[time.Time]bool)
			var doomed, doomedPassed, well, wellPassed, passed int
			for i := range 5000 {
				now := start.Add(time.Duration(i) * step)
				at := now.Sub(start)
				if well, ended := ends[now]; ended {
					throttle.Ended(now, browsing, well)
				}
				failing := at >= failsFrom && at < failsTo
				pass := !throttle.Refuses(now, browsing, float64(i*7919%1000)/1000)
				if pass {
					passed++
					ends[now.Add(chain)] = !failing || passed%c.succeeds == 0
				}
				switch {
				case at >= failsFrom+3*time.Second && at < failsTo:
					doomed++
					if pass {
						doomedPassed++
					}
				case at < failsFrom || at >= failsTo+3*time.Second:
					well++
					if pass {
						wellPassed++
					}
				}
			}
			if share := float64(doomedPassed) / float64(doomed); c.throttled && share > letDoomed || !c.throttled && share < 1 {
				t.Errorf("%.2f of the requests pass while %s succeeds", share, c.name)
			}
			if share := float64(wellPassed) / float64(well); share < letWell {
				t.Errorf("%.2f of the requests pass while nothing fails, want %.2f", share, letWell)
			}
		})
	}
}

// TestThrottleLetsRareRoutesPass checks that a route which is asked for now and then is tried each time.
func TestThrottleLetsRareRoutesPass(t *testing.T) {
	throttle := priority.NewThrottle()
	for i := range 100 {
		if throttle.Refuses(start.Add(time.Duration(i)*500*time.Millisecond), priority.Callee{Service: "calendar", Route: "rare"}, 0) {
			t.Fatalf("request %d is refused", i)
		}
		throttle.Ended(start.Add(time.Duration(i)*500*time.Millisecond), priority.Callee{Service: "calendar", Route: "rare"}, false)
	}
}

package priority_test

import (
	"testing"
	"time"

	"sapphirespread.example/priority"
)

// TestReturnTimeFollowsThePath checks that the margin covers both ways of a path, follows a path that becomes slower, and
// leaves most of a short deadline.
func TestReturnTimeFollowsThePath(t *testing.T) {
	var r priority.ReturnTime
	const ample = 5 * time.Second
	if got := r.Margin(ample); got < 10*time.Millisecond || got > 50*time.Millisecond {
		t.Errorf("margin %s without observations", got)
	}
	for _, path := range []time.Duration{3 * time.Millisecond, 300 * time.Millisecond, 30 * time.Millisecond} {
		for range 100 {
			r.Observe(path)
		}
		if got := r.Margin(ample); got < path+5*time.Millisecond || got > 2*path+50*time.Millisecond {
			t.Errorf("margin %s on a path of %s", got, path)
		}
	}
	for i := range 100 {
		r.Observe(time.Duration(i%2) * 100 * time.Millisecond)
	}
	if got := r.Margin(ample); got < 100*time.Millisecond {
		t.Errorf("margin %s on a path that takes up to 100 ms", got)
	}
	if got := r.Margin(100 * time.Millisecond); got > 25*time.Millisecond {
		t.Errorf("margin %s of a deadline of 100 ms", got)
	}
	if got := r.Margin(-time.Second); got != 0 {
		t.Errorf("margin %s after the deadline", got)
	}
}

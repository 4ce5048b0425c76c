package boottime_test

import (
	"testing"
	"time"

	"sapphirespread.example/internal/host/boottime"
)

func TestNowAdvancesWithoutAMonotonicReading(t *testing.T) {
	first := boottime.Now()
	time.Sleep(20 * time.Millisecond)
	passed := boottime.Now().Sub(first)
	if passed < 20*time.Millisecond || passed > 20*time.Second {
		t.Errorf("clock advanced by %s during a sleep of 20ms", passed)
	}
	if first != first.Round(0) {
		t.Error("the time has a monotonic clock reading, which stops while the machine is suspended")
	}
}

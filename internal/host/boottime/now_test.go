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
		t.Errorf("20ms took %s", passed)
	}
	if first != first.Round(0) {
		t.Error("the reading holds a monotonic time, which stands still in a suspended machine")
	}
}

package pace_test

import (
	"testing"
	"time"

	"sapphirespread.example/internal/admission/pace"
	"sapphirespread.example/priority"
)

// BenchmarkDecision measures the pacer's part in one request, from its arrival to its end.
func BenchmarkDecision(b *testing.B) {
	for _, c := range []struct {
		name     string
		rate     float64
		coldLeft time.Duration
	}{
		{"unpaced", 0, 0},
		{"warm", coldRate, 0},
		{"cold", coldRate, time.Hour},
	} {
		b.Run(c.name, func(b *testing.B) {
			p := pace.New()
			p.Configure(start, c.rate, coldStart)
			p.Hear(start, pace.Word{New: true, ColdLeft: c.coldLeft, Slots: 64})
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				p.Offered(now)
				if p.Open(now) {
					p.Started(now)
				}
				p.Ended(now, "route", priority.Result{Latency: time.Millisecond})
			}
		})
	}
}

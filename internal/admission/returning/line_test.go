package returning_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/internal/admission/returning"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestReturnsFitTheRoom checks over random refusals that returns with room never exceed, up to any time, what begins
// meanwhile, and that each lies between its bounds.
func TestReturnsFitTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var line returning.Line
		rate := rapid.Float64Range(1, 500).Draw(t, "rate")
		for i := range 1000 {
			line.Began(start.Add(time.Duration(i)*5*time.Millisecond), rate*0.005)
		}
		now := start.Add(5 * time.Second)
		var returns [3000]float64 // by ms
		largest := 0.0
		for range rapid.IntRange(1, 200).Draw(t, "refusals") {
			work := rapid.Float64Range(0.01, 3).Draw(t, "work")
			wait, room := line.Book(now, work, 0, 2*time.Second, rapid.Float64Range(0, 0.999).Draw(t, "random"))
			if wait < 0 || wait > 2*time.Second {
				t.Fatalf("a wait of %s", wait)
			}
			if room {
				returns[wait.Milliseconds()] += work
				largest = max(largest, work)
			}
		}
		sum := 0.0
		for ms, work := range returns {
			sum += work
			// The mean rate is up to one refusal's interval above the rate, and a slot is 50 ms long.
			if most := 1.05*rate*(float64(ms)+50)/1000 + largest; sum > most {
				t.Fatalf("%.2f returns within %d ms, there is room for %.2f", sum, ms, most)
			}
		}
	})
}

// caller is one attempt of a caller; attempts is a heap of them by time.
type (
	caller   struct{ first, at time.Duration }
	attempts []caller
)

func (a attempts) Len() int           { return len(a) }
func (a attempts) Less(i, j int) bool { return a[i].at < a[j].at }
func (a attempts) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *attempts) Push(x any)        { *a = append(*a, x.(caller)) }
func (a *attempts) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// surge lets callers return once when told, at a service with room for 100 of 160 a second over 4 s and of 60 later. It
// returns how many were served, and how many of these within the objective of 1.2 s.
func surge(retryAfter func(now time.Time, lines *returning.Lines, random *rand.Rand) time.Duration) (served, inTime int) {
	random := rand.New(rand.NewPCG(1, 2))
	lines := returning.NewLines()
	key := returning.Key{Service: "visits", Rank: 33}
	var queue attempts
	for at := time.Duration(0); at < 8*time.Second; {
		rate := 160.0
		if at > 4*time.Second {
			rate = 60
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		queue = append(queue, caller{at, at})
	}
	heap.Init(&queue)
	room, last := 0.0, time.Duration(0)
	for len(queue) > 0 {
		c := heap.Pop(&queue).(caller)
		now := start.Add(c.at)
		room = min(room+100*(c.at-last).Seconds(), 5)
		last = c.at
		switch {
		case room >= 1:
			room--
			served++
			lines.Began(now, key, time.Second)
			if c.at-c.first+200*time.Millisecond < 1200*time.Millisecond {
				inTime++
			}
		case c.first == c.at:
			heap.Push(&queue, caller{c.first, c.at + max(retryAfter(now, lines, random), 1)})
		}
	}
	return served, inTime
}

// TestRefusedCallersReturnWhileAnAnswerIsInTime plays a surge of callers with a short latency objective: whoever is served
// is served within it, and more are than with a wait of 1 to 2 s for all.
func TestRefusedCallersReturnWhileAnAnswerIsInTime(t *testing.T) {
	key := returning.Key{Service: "visits", Rank: 33}
	served, inTime := surge(func(now time.Time, lines *returning.Lines, random *rand.Rand) time.Duration {
		return lines.RetryAfter(now, key, time.Second, 1200*time.Millisecond, random.Float64())
	})
	constantServed, constantInTime := surge(func(_ time.Time, _ *returning.Lines, random *rand.Rand) time.Duration {
		return time.Second + time.Duration(random.Int64N(int64(time.Second)))
	})
	t.Logf("served %d, %d in time; with 1 to 2 s %d, %d in time", served, inTime, constantServed, constantInTime)
	if inTime < served || float64(inTime) < 1.1*float64(constantInTime) {
		t.Errorf("served %d, %d in time; with 1 to 2 s %d, %d in time", served, inTime, constantServed, constantInTime)
	}
}

// TestLinesAreBounded checks that a line is told for a new key only while there are few enough in use.
func TestLinesAreBounded(t *testing.T) {
	lines := returning.NewLines()
	known := 0
	for rank := range 1000 {
		if lines.RetryAfter(start, returning.Key{Service: "visits", Rank: rank}, 1, time.Second, 0) > 0 {
			known++
		}
	}
	if known != 256 {
		t.Errorf("%d lines, want 256", known)
	}
	if lines.RetryAfter(start.Add(10*time.Second), returning.Key{Service: "media"}, 1, time.Second, 0) == 0 {
		t.Error("unused lines were not replaced")
	}
}

// BenchmarkRetryAfter measures one refusal with a full line.
func BenchmarkRetryAfter(b *testing.B) {
	lines := returning.NewLines()
	key := returning.Key{Service: "visits", Rank: 33}
	lines.Began(start, key, time.Second)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		lines.RetryAfter(start, key, time.Millisecond, 4*time.Second, 0.5)
	}
}

package pace

import "time"

const (
	windowBuckets = 32
	// windowBucket times windowBuckets exceeds a second by more than one bucket, so that a count covers each span of a
	// second in full.
	windowBucket = time.Second / (windowBuckets - 2)
)

// startWindow counts the starts of the last second, in buckets.
type startWindow struct {
	counts  [windowBuckets]int
	current int64 // index of the newest bucket since the zero time of the window
	origin  time.Time
	last    time.Time
}

// add counts a start at now.
func (w *startWindow) add(now time.Time) {
	w.advance(now)
	w.counts[w.current%windowBuckets]++
	w.last = now
}

// fill counts n starts at now that nobody has seen.
func (w *startWindow) fill(now time.Time, n int) {
	w.advance(now)
	w.counts[w.current%windowBuckets] += n
}

// count returns the starts of the last second, and of up to two buckets before.
func (w *startWindow) count(now time.Time) int {
	w.advance(now)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}

// advance clears the buckets that have passed.
func (w *startWindow) advance(now time.Time) {
	if w.origin.IsZero() {
		w.origin = now
	}
	index := int64(now.Sub(w.origin) / windowBucket)
	if index-w.current >= windowBuckets {
		w.counts = [windowBuckets]int{}
		w.current = index
		return
	}
	for w.current < index {
		w.current++
		w.counts[w.current%windowBuckets] = 0
	}
}

package returning

import "time"

const (
	maxLines = 256
	// A caller returns after 1/earliestDivisor of its latency objective, and leaves as much of it for its run: earlier, what
	// refused it has hardly changed; later, its answer would be late.
	earliestDivisor = 4
	// defaultObjective stands for the objective of a route that has none.
	defaultObjective = 4 * time.Second
)

// A Key identifies the requests that wait in one line: those of one rank that wait for the same service.
type Key struct {
	Service string
	Rank    int
}

// Lines holds the line of each key. The caller must serialize all calls with one lock.
type Lines struct {
	lines map[Key]*Line
}

// NewLines returns Lines in which nobody waits.
func NewLines() *Lines {
	return &Lines{lines: make(map[Key]*Line)}
}

// Began records that a request with the given work has begun.
func (l *Lines) Began(now time.Time, key Key, work time.Duration) {
	if line := l.line(now, key); line != nil {
		line.Began(now, work.Seconds())
	}
}

// RetryAfter returns how long a refused request with the given work and latency objective should wait: until there is
// room, yet early enough for an answer within the objective. It returns 0 if there are too many lines to tell.
func (l *Lines) RetryAfter(now time.Time, key Key, work, objective time.Duration, random float64) time.Duration {
	line := l.line(now, key)
	if line == nil {
		return 0
	}
	if objective <= 0 {
		objective = defaultObjective
	}
	wait, _ := line.Book(now, work.Seconds(), objective/earliestDivisor, objective-objective/earliestDivisor, random)
	return wait
}

// line returns the line of key, or nil if there are too many that are in use.
func (l *Lines) line(now time.Time, key Key) *Line {
	line := l.lines[key]
	if line != nil {
		return line
	}
	if len(l.lines) >= maxLines {
		for other, unused := range l.lines {
			if now.Sub(unused.updated) > MaxWait {
				delete(l.lines, other)
			}
		}
	}
	if len(l.lines) >= maxLines {
		return nil
	}
	line = &Line{}
	l.lines[key] = line
	return line
}

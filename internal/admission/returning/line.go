package returning

import (
	"math"
	"time"
)

const (
	// slotWidth is the time over which returns are spread evenly. It is short against every latency objective.
	slotWidth = 50 * time.Millisecond
	slotCount = 48
	// rateTimeConstant is that of the mean rate at which requests begin.
	rateTimeConstant = time.Second
	// MaxWait is the longest wait that a line can tell.
	MaxWait = (slotCount - 1) * slotWidth
)

// A Line holds the returns of refused requests that were told a time, in the unit of their work. It tells each the first
// time at which what returns then is less than what has begun lately in as much time. The zero value is an empty line.
// The caller must serialize all calls with one lock.
type Line struct {
	booked  [slotCount]float64 // work that returns, a ring by slot
	first   int64              // slot of the present, since the zero time
	rate    float64            // work that begins a second
	updated time.Time
}

// Began records that a request with the given work has begun.
func (l *Line) Began(now time.Time, work float64) {
	l.decay(now)
	l.rate += work / rateTimeConstant.Seconds()
}

// Book returns how long a refused request with the given work has to wait, from earliest to latest, and whether there is
// room at its return. If there is none, the returns are spread over that time. random, in [0, 1), chooses within it and
// within a slot.
func (l *Line) Book(now time.Time, work float64, earliest, latest time.Duration, random float64) (wait time.Duration, room bool) {
	l.decay(now)
	l.advance(now)
	latest = min(max(latest, slotWidth), MaxWait)
	earliest = min(max(earliest, 0), latest)
	capacity := l.rate * slotWidth.Seconds()
	slack := l.slack(capacity)
	for i := int64(earliest / slotWidth); i < int64(latest/slotWidth); i++ {
		booked := &l.booked[(l.first+i)%slotCount]
		// A request that is larger than a slot takes an empty one.
		if work <= slack[i] && (*booked == 0 || *booked+work <= capacity) {
			*booked += work
			return time.Duration((float64(i) + random) * float64(slotWidth)), true
		}
	}
	return earliest + time.Duration(random*float64(latest-earliest)), false
}

// slack returns for each slot from the present on how much more may return in it, so that up to no later slot more returns
// than there is room for.
func (l *Line) slack(capacity float64) (slack [slotCount]float64) {
	sum := 0.0
	for i := range slack {
		sum += capacity - l.booked[(l.first+int64(i))%slotCount]
		slack[i] = sum
	}
	for i := slotCount - 2; i >= 0; i-- {
		slack[i] = min(slack[i], slack[i+1])
	}
	return slack
}

// decay lowers the rate to now.
func (l *Line) decay(now time.Time) {
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		l.rate *= math.Exp(-float64(elapsed) / float64(rateTimeConstant))
		l.updated = now
	}
}

// advance empties the slots that have passed.
func (l *Line) advance(now time.Time) {
	current := now.UnixNano() / int64(slotWidth)
	if current-l.first >= slotCount || current < l.first {
		clear(l.booked[:])
		l.first = current
		return
	}
	for ; l.first < current; l.first++ {
		l.booked[l.first%slotCount] = 0
	}
}

package pace

import (
	"slices"
	"time"

	"sapphirespread.example/internal/membership/target"
)

// FullShare is the share of a backend server that takes all of its usual requests. Shares are counted in units of
// 1/FullShare.
const FullShare = target.FullPace

const (
	firstShare    = 4   // where the usual load is unknown
	maxFirstShare = 0.5 // of FullShare
	// shareSettles is how long callers take to apply a share.
	shareSettles  = 200 * time.Millisecond
	shareMeasured = 200 * time.Millisecond
	idleMeasured  = 400 * time.Millisecond // without enough arrivals
	minArrivals   = 4
	usedShare     = 0.9 // part of the rate that callers are asked to use
)

// shareSteps are the shares that are told, so that few changes are spread.
var shareSteps = [...]uint8{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, FullShare}

// callerShare is the share of their usual requests that callers send. It follows the ratio of the rate to what arrives.
type callerShare struct {
	step     int // index into shareSteps
	changed  time.Time
	arrivals int       // since measuring
	measures time.Time // when counting began
}

func (s *callerShare) units() uint8 { return shareSteps[s.step] }

// begin sets the first share of a ramp, from the usual requests per second if they are known. A share that is smaller
// already stays.
func (s *callerShare) begin(now time.Time, rate, usual float64) {
	step := stepAtMost(firstShare)
	if usual > 0 {
		step = stepAtMost(min(usedShare*rate/usual, maxFirstShare) * FullShare)
	}
	s.set(now, min(s.step, step))
}

func (s *callerShare) full() { s.step = len(shareSteps) - 1 }

func (s *callerShare) isFull() bool { return s.step == len(shareSteps)-1 }

func (s *callerShare) set(now time.Time, step int) {
	s.step, s.changed, s.arrivals, s.measures = step, now, 0, now.Add(shareSettles)
}

// arrived counts an arrival.
func (s *callerShare) arrived(now time.Time) {
	if !now.Before(s.measures) {
		s.arrivals++
	}
}

// follow adapts the share to rate and returns the measured demand of all callers in requests per second, or 0 if nothing
// was measured.
func (s *callerShare) follow(now time.Time, rate float64) float64 {
	elapsed := now.Sub(s.measures)
	if elapsed < shareMeasured || s.arrivals < minArrivals && elapsed < idleMeasured {
		return 0
	}
	arriving := float64(s.arrivals) / elapsed.Seconds()
	demand := max(arriving, minArrivals) * FullShare / float64(s.units())
	wanted := usedShare * rate / demand * FullShare
	step := s.step
	switch {
	case wanted >= 2*float64(s.units()):
		step = stepAtMost(2 * float64(s.units()))
	case wanted < float64(s.units()) || wanted >= float64(shareSteps[min(s.step+1, len(shareSteps)-1)]):
		step = stepAtMost(wanted)
	}
	s.set(now, step)
	return demand
}

// lower reduces the share by factor.
func (s *callerShare) lower(now time.Time, factor float64) {
	s.set(now, stepAtMost(factor*float64(s.units())))
}

// stepAtMost returns the index of the largest step of at most units, or the first.
func stepAtMost(units float64) int {
	i, found := slices.BinarySearchFunc(shareSteps[:], units, func(step uint8, u float64) int {
		switch {
		case float64(step) < u:
			return -1
		case float64(step) > u:
			return 1
		default:
			return 0
		}
	})
	if found {
		return i
	}
	return max(i-1, 0)
}

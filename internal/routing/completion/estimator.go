package completion

import (
	"math"
	"sync/atomic"
	"time"

	"sapphirespread.example/internal/backend/load"
)

const (
	// maxAge is the age up to which a report says more about a target than the caller's own latencies.
	maxAge = time.Second
	// reportingTime is the time after a report for which its target counts as one that reports, also if it is seldom
	// called.
	reportingTime = 30 * time.Second
	// slownessHalfLife is the age at which a stated slowness counts half, since it changes many times a second.
	slownessHalfLife = 200 * time.Millisecond
	// transitHalfLife is the time in which half of a fall of the transit time is followed. A rise is followed at once.
	transitHalfLife = 500 * time.Millisecond
)

// An Estimator holds the newest load report of one target. Its zero value has none. Times are durations since a fixed
// start. One goroutine at a time may observe; Sent and Estimate are safe for concurrent use with all methods.
type Estimator struct {
	takenAt     atomic.Int64 // nanoseconds since the start, at which the target stated its load
	inFlight    atomic.Int64
	slots       atomic.Int64
	serviceTime atomic.Int64  // nanoseconds
	slowness    atomic.Uint64 // bits of a float64
	sentSince   atomic.Int64  // calls sent by this daemon since the report
	transit     atomic.Int64  // nanoseconds on the way there and back
	transitAt   atomic.Int64
}

// Observe replaces the report by a newer one that arrived at the given time. It ignores an unknown state.
func (e *Estimator) Observe(at time.Duration, state load.State) {
	takenAt := max(at-max(state.Age, 0), 1)
	if !state.Known() || int64(takenAt) < e.takenAt.Load() {
		return
	}
	e.inFlight.Store(int64(max(state.InFlight, 0)))
	e.slots.Store(int64(state.Slots))
	e.serviceTime.Store(int64(state.ServiceTime))
	e.slowness.Store(math.Float64bits(state.Slowness))
	e.sentSince.Store(0)
	e.takenAt.Store(int64(takenAt))
}

// ObserveTransit records the part of a call's latency that was not spent at the target.
func (e *Estimator) ObserveTransit(at, transit time.Duration) {
	current, sample := float64(e.transit.Load()), float64(max(transit, 0))
	if sample < current {
		elapsed := float64(max(int64(at)-e.transitAt.Load(), 0))
		sample += (current - sample) * float64(transitHalfLife) / (float64(transitHalfLife) + elapsed)
	}
	e.transit.Store(int64(sample))
	e.transitAt.Store(int64(at))
}

// Sent records a call sent to the target.
func (e *Estimator) Sent() { e.sentSince.Add(1) }

// Reporting reports whether the target has reported its load lately.
func (e *Estimator) Reporting(at time.Duration) bool {
	takenAt := e.takenAt.Load()
	return takenAt != 0 && int64(at)-takenAt <= int64(reportingTime)
}

// ServiceTime returns the reported time of an answer without a wait.
func (e *Estimator) ServiceTime() time.Duration { return time.Duration(e.serviceTime.Load()) }

// Estimate returns the expected time until the answer to one more call. known is false without a report of the last
// second.
func (e *Estimator) Estimate(at time.Duration) (expected time.Duration, known bool) {
	takenAt := e.takenAt.Load()
	age := max(int64(at)-takenAt, 0)
	if takenAt == 0 || age > int64(maxAge) {
		return 0, false
	}
	usual := float64(e.serviceTime.Load())
	keep := float64(slownessHalfLife) / (float64(slownessHalfLife) + float64(age))
	service := usual * (1 + (math.Float64frombits(e.slowness.Load())-1)*keep)
	used := float64(e.inFlight.Load()+e.sentSince.Load()+1) / float64(e.slots.Load())
	return time.Duration(float64(e.transit.Load()) + service + usual*wait(used)), true
}

// wait returns the expected wait for a slot in service times, for a target whose calls in flight are used times its
// slots. Slots are freed evenly over a service time. Below one it is the chance that calls of other daemons take the free
// slots before this one arrives.
func wait(used float64) float64 {
	if used >= 1 {
		return used - 1 + contention
	}
	square := used * used
	fourth := square * square
	return contention * fourth * fourth
}

// contention is the wait, in service times, at a target whose slots are just taken.
const contention = 0.5

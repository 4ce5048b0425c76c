package priority

import (
	"slices"
	"time"
)

const (
	shedWindow              = 25 * time.Millisecond
	levelPropagationWindows = 16 // windows until all upstream daemons apply a level
	minAdmittedShare        = 0.05
	shedShareTolerance      = 0.001
	wantedQueueDivisor      = 4    // 1/wantedQueueDivisor of the limit should wait under overload
	wantedQueueBase         = 2.0  // waiting requests in addition to those by wantedQueueDivisor
	maxDrainShare           = 0.05 // of the capacity
	latencyDecay            = 0.8  // weight of the previous mean in each window
	unseenDemandDecay       = 0.99 // the same for priorities that are shed entirely
	slotTimeGain            = 0.05 // weight of one run in the mean slot time of its route
	minSlotTime             = 0.1  // milliseconds
	msPerSecond             = 1000.0
	priorityCount           = levelCount * levelCount
)

// pacing is how fast the admitted share follows what a window has shown.
type pacing struct {
	drainTime      time.Duration // target time to drain surplus waiting requests
	maxFillShare   float64       // of the capacity, admitted in excess to fill the queue
	recoveryGrowth float64       // factor per window
	recoveryStep   float64       // added per window
	demandDecay    float64       // weight of the previous demand in each window
	arrivalsDecay  float64       // weight of the previous counts of each workspace in each window
	fairSlack      float64       // relative excess over the fair demand up to which a workspace keeps all, since counts vary
}

var (
	// directPacing suits senders that apply a level within a window.
	directPacing = pacing{drainTime: 150 * time.Millisecond, maxFillShare: 0.25, recoveryGrowth: 1.15, recoveryStep: 0.02, demandDecay: 0.8, arrivalsDecay: 0.97}
	// treePacing suits levels that take effect at the entry of a call tree, whose calls arrive up to 16 windows later.
	treePacing = pacing{drainTime: 300 * time.Millisecond, maxFillShare: 0.05, recoveryGrowth: 1.01, recoveryStep: 0.001, demandDecay: 0.9, arrivalsDecay: 0.99, fairSlack: 0.25}
)

// noSheddingLevel returns a level that sheds nothing.
func noSheddingLevel() Level {
	return Level{Priority: priorityCount}
}

// load is the state of the target at the end of a window.
type load struct {
	waiting     int
	limit       int
	hasFreeSlot bool
	rate        float64 // starts per second that the gate allows, +Inf if unbounded
}

// shedder computes the level for upstream daemons. It admits a share of the estimated demand, most important
// priorities first. While requests wait, that share follows the rate of completed runs. Once none wait, it
// grows again.
type shedder struct {
	windowStart    time.Time
	arrivals       []float64 // by priority up to the least important one seen, including requests shed upstream
	finished       int
	dropped        int
	latencySum     time.Duration // of the finished runs
	meanLatency    float64       // in seconds
	meanLimit      float64
	admittedShare  float64
	recentLevels   [levelPropagationWindows]Level // ring buffer of the levels that upstream daemons may still apply
	nextRecent     int
	demand         []float64 // estimated requests per window by priority, of the same length as arrivals
	fairness       fairness
	publishedLevel Level
	pacing         pacing
	slotTimes      map[string]float64 // mean slot time of each route in milliseconds, nil if demand is counted in requests
}

func newShedder() *shedder {
	s := &shedder{admittedShare: 1, pacing: directPacing, publishedLevel: noSheddingLevel()}
	for i := range s.recentLevels {
		s.recentLevels[i] = noSheddingLevel()
	}
	return s
}

func (s *shedder) requestArrived(r Request) {
	p := clampPriority(r.Priority)
	for len(s.arrivals) <= p {
		s.arrivals = append(s.arrivals, 0)
		s.demand = append(s.demand, 0)
	}
	a := s.fairness.arrivalsOf(r)
	weight := s.representedDemand(p, a.hash, r.Shed) * s.costOf(r.Route)
	s.arrivals[p] += weight
	a.count += weight
}

// representedDemand returns how many requests an arriving one represents: itself and the similar requests
// that upstream daemons shed because of this target's levels. Requests shed because of another target are
// not counted, since they would not arrive if this target shed less.
func (s *shedder) representedDemand(p int, workspace WorkspaceHash, shed float64) float64 {
	if shed <= 0 || shed > s.recentShedShare(p, workspace)+shedShareTolerance {
		return 1
	}
	return 1 / max(1-shed, minAdmittedShare)
}

// recentShedShare returns the largest share of the workspace's requests of priority p that a recent level
// sheds.
func (s *shedder) recentShedShare(p int, workspace WorkspaceHash) float64 {
	shed := 0.0
	for i := range s.recentLevels {
		l := &s.recentLevels[i]
		switch {
		case p > l.Priority:
			return 1
		case p == l.Priority:
			shed = max(shed, l.shareOfHash(workspace))
		}
	}
	return shed
}

// costOf returns the demand of one request of route: the time that it is expected to hold a slot, in milliseconds, or 1 if
// requests are counted. A route without a finished run costs as much as the mean run.
func (s *shedder) costOf(route string) float64 {
	if s.slotTimes == nil {
		return 1
	}
	if cost := s.slotTimes[route]; cost > 0 {
		return cost
	}
	return max(s.meanLatency*msPerSecond, minSlotTime)
}

// runCompleted records a run. Where slot times are measured, a failed one counts for nothing: it may have ended early.
func (s *shedder) runCompleted(route string, result Result) {
	if s.slotTimes != nil && result.Failed {
		return
	}
	latency := result.Latency
	s.finished++
	s.latencySum += latency
	if s.slotTimes == nil {
		return
	}
	mean, known := s.slotTimes[route]
	switch {
	case known:
		s.slotTimes[route] = mean + slotTimeGain*(latency.Seconds()*msPerSecond-mean)
	case len(s.slotTimes) < maxRoutes:
		s.slotTimes[route] = max(latency.Seconds()*msPerSecond, minSlotTime)
	}
}

func (s *shedder) requestDropped() {
	s.dropped++
}

// advance closes the window if it has ended, and reports whether it did.
func (s *shedder) advance(now time.Time, load load) bool {
	if s.windowStart.IsZero() {
		s.windowStart = now
		return false
	}
	elapsed := now.Sub(s.windowStart)
	if elapsed < shedWindow {
		return false
	}
	s.estimateDemand(elapsed)
	s.updateAdmittedShare(elapsed, load)
	s.publish()
	s.windowStart = now
	clear(s.arrivals)
	s.finished, s.dropped, s.latencySum = 0, 0, 0
	return true
}

// level returns the published level and whether it sheds any requests.
func (s *shedder) level() (Level, bool) {
	return s.publishedLevel, s.publishedLevel.Priority != priorityCount
}

// estimateDemand updates the demand from the arrivals. The demand of priorities that are shed entirely can't
// be measured and decays slowly.
func (s *shedder) estimateDemand(elapsed time.Duration) {
	for p := range s.arrivals {
		arrived := s.arrivals[p] * float64(shedWindow) / float64(elapsed)
		if !s.admittedRecently(p) {
			s.demand[p] = max(s.demand[p]*unseenDemandDecay, arrived)
			continue
		}
		s.demand[p] = s.pacing.demandDecay*s.demand[p] + (1-s.pacing.demandDecay)*arrived
	}
}

// admittedRecently reports whether any level that upstream daemons may still apply admits requests of
// priority p.
func (s *shedder) admittedRecently(p int) bool {
	return slices.ContainsFunc(s.recentLevels[:], func(l Level) bool { return p <= l.Priority })
}

// updateAdmittedShare sets the admitted share to the capacity by Little's law, less the part that drains
// surplus waiting requests. With a free slot, an empty queue and no dropped requests, the share grows by at
// least the recovery rate.
func (s *shedder) updateAdmittedShare(elapsed time.Duration, load load) {
	s.observeLatency()
	s.observeLimit(load.limit)
	if s.slotTimes != nil && s.meanLatency == 0 {
		return // no run has told what a slot is worth
	}
	admitted := 0.0
	if load.waiting == 0 && load.hasFreeSlot && s.dropped == 0 {
		steps := float64(min(elapsed/shedWindow, 8))
		admitted = s.admittedShare*(1+(s.pacing.recoveryGrowth-1)*steps) + s.pacing.recoveryStep*steps
	}
	demand := s.totalDemand() / shedWindow.Seconds()
	if demand > 0 && s.meanLatency > 0 {
		unpaced := float64(load.limit) / s.meanLatency // requests per second
		requests := min(unpaced, load.rate)
		capacity := requests
		if s.slotTimes != nil {
			capacity = s.meanLimit * msPerSecond * requests / unpaced
		}
		admitted = max(admitted, capacity*(1-s.drainShare(load, requests))/demand)
	}
	s.admittedShare = min(1, max(minAdmittedShare, admitted))
}

// drainShare returns the share of the capacity that is reserved for draining surplus waiting requests. It is
// negative if too few requests wait.
func (s *shedder) drainShare(load load, capacity float64) float64 {
	wanted := float64(load.limit)/wantedQueueDivisor + wantedQueueBase
	drain := (float64(load.waiting) - wanted) / (capacity * s.pacing.drainTime.Seconds())
	return min(max(drain, -s.pacing.maxFillShare), maxDrainShare)
}

func (s *shedder) observeLatency() {
	if s.finished == 0 {
		return
	}
	latency := s.latencySum.Seconds() / float64(s.finished)
	if s.meanLatency == 0 {
		s.meanLatency = latency
	}
	s.meanLatency = latencyDecay*s.meanLatency + (1-latencyDecay)*latency
}

// observeLimit smooths the limit like the demand, whose slot times follow the limit.
func (s *shedder) observeLimit(limit int) {
	if s.meanLimit == 0 {
		s.meanLimit = float64(limit)
	}
	s.meanLimit = s.pacing.demandDecay*s.meanLimit + (1-s.pacing.demandDecay)*float64(limit)
}

func (s *shedder) totalDemand() float64 {
	total := 0.0
	for _, d := range s.demand {
		total += d
	}
	return total
}

// publish computes the level for the admitted share of the demand and stores it.
func (s *shedder) publish() {
	s.publishedLevel = s.levelFor(s.admittedShare * s.totalDemand())
	s.recentLevels[s.nextRecent%levelPropagationWindows] = s.publishedLevel
	s.nextRecent++
	s.fairness.decay(s.pacing.arrivalsDecay)
}

// levelFor returns a level that admits the given number of requests per window.
func (s *shedder) levelFor(admitted float64) Level {
	if s.admittedShare >= 1 {
		return noSheddingLevel()
	}
	for p, d := range s.demand {
		if d > admitted {
			return s.fairness.level(p, admitted/d, s.pacing.fairSlack)
		}
		admitted -= d
	}
	return noSheddingLevel()
}

func clampPriority(priority int) int {
	return min(max(priority, 0), priorityCount-1)
}

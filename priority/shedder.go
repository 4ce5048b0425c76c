package priority

import (
	"slices"
	"time"
)

const (
	shedWindow       = 25 * time.Millisecond
	shedLag          = 16 // windows until upstream daemons heed a level
	shedFloor        = 0.05
	shedSlack        = 0.001
	shedQueuePart    = 4 // the part of the limit that is to wait under overload
	shedQueueMinimum = 2.0
	shedDrain        = 150 * time.Millisecond // in which surplus waiting requests are to drain
	shedDrainMaximum = 0.05                   // of the capacity
	shedFillMaximum  = 0.25
	latencyKeep      = 0.8
	shedRecover      = 1.15
	shedRecoverStep  = 0.02
	demandKeep       = 0.8 // of the old demand in each window
	demandUnseenKeep = 0.99
	priorities       = levels * levels
)

// openLevel returns a level that sheds nothing.
func openLevel() Level {
	return Level{Priority: priorities}
}

// load is what the target holds at the end of a window.
type load struct {
	waiting int
	limit   int
	free    bool
}

// shedder works out the level: it admits a share of the estimated demand, most important first, that
// follows the completions while requests stay waiting, and grows again as soon as they don't.
type shedder struct {
	start       time.Time
	arrivals    []float64 // by priority, up to the least important one seen; with what upstream daemons kept back
	finished    int
	overflow    int
	latency     time.Duration // sum over the finished runs
	meanLatency float64       // seconds
	admitted    float64
	recent      [shedLag]Level // that upstream daemons may still heed
	recentAt    int
	demand      []float64 // by priority, as long as arrivals
	fairness    fairness
	published   Level
}

func newShedder() *shedder {
	s := &shedder{admitted: 1, published: openLevel()}
	for i := range s.recent {
		s.recent[i] = openLevel()
	}
	return s
}

func (s *shedder) arrived(r Request) {
	p := bucket(r.Priority)
	for len(s.arrivals) <= p {
		s.arrivals = append(s.arrivals, 0)
		s.demand = append(s.demand, 0)
	}
	a := s.fairness.of(r)
	weight := s.demandOf(p, a.hash, r.Shed)
	s.arrivals[p] += weight
	a.count += weight
}

// demandOf returns how many requests one that arrives stands for, with those like it that were kept back for
// this target. Those that were kept back for another would not come if this one shed less.
func (s *shedder) demandOf(p int, workspace WorkspaceHash, shed float64) float64 {
	if shed <= 0 || shed > s.shedLately(p, workspace)+shedSlack {
		return 1
	}
	return 1 / max(1-shed, shedFloor)
}

// shedLately returns the largest share of the workspace's requests of priority p that any recent level sheds.
func (s *shedder) shedLately(p int, workspace WorkspaceHash) float64 {
	shed := 0.0
	for i := range s.recent {
		l := &s.recent[i]
		switch {
		case p > l.Priority:
			return 1
		case p == l.Priority:
			shed = max(shed, l.shareOfHash(workspace))
		}
	}
	return shed
}

func (s *shedder) completed(latency time.Duration) {
	s.finished++
	s.latency += latency
}

func (s *shedder) overflowed() {
	s.overflow++
}

// advance closes the window where it has ended and reports whether it did.
func (s *shedder) advance(now time.Time, load load) bool {
	if s.start.IsZero() {
		s.start = now
		return false
	}
	elapsed := now.Sub(s.start)
	if elapsed < shedWindow {
		return false
	}
	s.estimateDemand(elapsed)
	s.control(elapsed, load)
	s.publish()
	s.start = now
	clear(s.arrivals)
	s.finished, s.overflow, s.latency = 0, 0, 0
	return true
}

// level returns the published level, and whether it sheds anything.
func (s *shedder) level() (Level, bool) {
	return s.published, s.published.Priority != priorities
}

// estimateDemand follows the arrivals; the demand of priorities that are shed whole fades slowly.
func (s *shedder) estimateDemand(elapsed time.Duration) {
	for p := range s.arrivals {
		arrived := s.arrivals[p] * float64(shedWindow) / float64(elapsed)
		if !s.seen(p) {
			s.demand[p] = max(s.demand[p]*demandUnseenKeep, arrived)
			continue
		}
		s.demand[p] = demandKeep*s.demand[p] + (1-demandKeep)*arrived
	}
}

// seen reports whether any level that upstream daemons may heed lets requests of priority p through.
func (s *shedder) seen(p int) bool {
	return slices.ContainsFunc(s.recent[:], func(l Level) bool { return p <= l.Priority })
}

// control sets the admitted share to the capacity by Little's law, less what drains surplus waiting
// requests; while slots are free it grows at least.
func (s *shedder) control(elapsed time.Duration, load load) {
	s.observeLatency()
	admitted := 0.0
	if load.waiting == 0 && load.free && s.overflow == 0 {
		steps := float64(min(elapsed/shedWindow, 8))
		admitted = s.admitted*(1+(shedRecover-1)*steps) + shedRecoverStep*steps
	}
	demand := s.totalDemand() / shedWindow.Seconds()
	if demand > 0 && s.meanLatency > 0 {
		capacity := float64(load.limit) / s.meanLatency
		admitted = max(admitted, capacity*(1-s.drain(load, capacity))/demand)
	}
	s.admitted = min(1, max(shedFloor, admitted))
}

// drain returns the share of the capacity that is kept for surplus waiting requests, negative where more
// are to wait.
func (s *shedder) drain(load load, capacity float64) float64 {
	wanted := float64(load.limit)/shedQueuePart + shedQueueMinimum
	drain := (float64(load.waiting) - wanted) / (capacity * shedDrain.Seconds())
	return min(max(drain, -shedFillMaximum), shedDrainMaximum)
}

func (s *shedder) observeLatency() {
	if s.finished == 0 {
		return
	}
	latency := s.latency.Seconds() / float64(s.finished)
	if s.meanLatency == 0 {
		s.meanLatency = latency
	}
	s.meanLatency = latencyKeep*s.meanLatency + (1-latencyKeep)*latency
}

func (s *shedder) totalDemand() float64 {
	total := 0.0
	for _, d := range s.demand {
		total += d
	}
	return total
}

// publish turns the admitted share of the demand into a level.
func (s *shedder) publish() {
	s.published = s.levelFor(s.admitted * s.totalDemand())
	s.recent[s.recentAt%shedLag] = s.published
	s.recentAt++
	s.fairness.age()
}

// levelFor returns the level that lets through admitted requests a window.
func (s *shedder) levelFor(admitted float64) Level {
	if s.admitted >= 1 {
		return openLevel()
	}
	for p, d := range s.demand {
		if d > admitted {
			return s.fairness.level(p, admitted/d)
		}
		admitted -= d
	}
	return openLevel()
}

func bucket(priority int) int {
	return min(max(priority, 0), priorities-1)
}

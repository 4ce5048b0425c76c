package priority

import "time"

const (
	shedWindow       = 25 * time.Millisecond
	shedLag          = 4 // windows until upstream daemons heed a level
	shedFloor        = 0.05
	shedQueuePart    = 8 // a part of the limit that may wait without pressure
	shedApproach     = 0.5
	shedRecover      = 1.15
	shedRecoverStep  = 0.02
	demandKeep       = 0.8 // of the old demand in each window
	demandUnseenKeep = 0.99
	priorities       = 32
)

// openLevel sheds nothing.
var openLevel = Level{Priority: priorities}

// shedder works out the level: it admits a share of the estimated demand, most important first, that
// follows the completions while requests stay waiting, and grows again as soon as they don't.
type shedder struct {
	start     time.Time
	arrivals  [priorities]int
	finished  int
	overflow  int
	idle      bool // nothing waited at some point of the window
	admitted  float64
	recent    [shedLag]Level // that upstream daemons may still heed
	recentAt  int
	demand    [priorities]float64
	fairness  fairness
	published Level
}

func newShedder() *shedder {
	s := &shedder{admitted: 1, published: openLevel}
	for i := range s.recent {
		s.recent[i] = openLevel
	}
	return s
}

func (s *shedder) arrived(r Request) {
	s.arrivals[bucket(r.Priority)]++
	s.fairness.arrived(r)
}

func (s *shedder) completed() {
	s.finished++
}

func (s *shedder) overflowed() {
	s.overflow++
}

// advance closes the window where it has ended and reports whether it did.
func (s *shedder) advance(now time.Time, waiting, limit int) bool {
	if waiting == 0 {
		s.idle = true
	}
	if s.start.IsZero() {
		s.start = now
		return false
	}
	elapsed := now.Sub(s.start)
	if elapsed < shedWindow {
		return false
	}
	s.estimateDemand()
	s.control(elapsed, waiting, limit)
	s.publish()
	s.start = now
	s.arrivals = [priorities]int{}
	s.finished, s.overflow = 0, 0
	s.idle = waiting == 0
	return true
}

// level returns the published level, and whether it sheds anything.
func (s *shedder) level() (Level, bool) {
	return s.published, s.published != openLevel
}

// estimateDemand adds to the arrivals what upstream daemons kept back.
func (s *shedder) estimateDemand() {
	for p := range s.arrivals {
		passed := s.passed(p)
		arrived := float64(s.arrivals[p])
		if passed < shedFloor {
			s.demand[p] = max(s.demand[p]*demandUnseenKeep, arrived)
			continue
		}
		s.demand[p] = demandKeep*s.demand[p] + (1-demandKeep)*arrived/passed
	}
}

// passed returns the largest share of priority p that any level lets through that upstream daemons may heed.
func (s *shedder) passed(p int) float64 {
	passed := 0.0
	for _, l := range s.recent {
		switch {
		case p < l.Priority:
			return 1
		case p == l.Priority:
			passed = max(passed, 1-l.Share)
		}
	}
	return passed
}

func (s *shedder) control(elapsed time.Duration, waiting, limit int) {
	if s.idle && s.overflow == 0 {
		steps := float64(min(elapsed/shedWindow, 8))
		s.admitted = min(1, s.admitted*(1+(shedRecover-1)*steps)+shedRecoverStep*steps)
		return
	}
	demand := s.totalDemand()
	if waiting <= limit/shedQueuePart+1 && s.overflow == 0 || demand <= 0 {
		return
	}
	wanted := float64(s.finished) / demand
	if wanted < s.admitted {
		s.admitted += shedApproach * (wanted - s.admitted)
	}
	s.admitted = max(s.admitted, shedFloor)
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
		return openLevel
	}
	for p, d := range s.demand {
		if d > admitted {
			return Level{Priority: p, Share: s.fairness.excess(p, admitted/d)}
		}
		admitted -= d
	}
	return openLevel
}

func bucket(priority int) int {
	return min(max(priority, 0), priorities-1)
}

package target

import "time"

// A tier is how willingly a target is chosen.
type tier int

const (
	tierNear   tier = iota // own failure domain, no sign of pressure
	tierAny                // able to serve
	tierWarm               // still warming
	tierEject              // ejected for failures: last resort
	tierCount              // number of tiers
	inlineSize = 32        // candidates of a tier held without an allocation
)

const (
	pressureRefusals  = 0.05
	pressureLatencies = 4
	pressureSlack     = time.Millisecond
	refusalCost       = 10.0
	unknownSlots      = 64
)

// selection gathers the candidates of one choice.
type selection struct {
	chooser   *Chooser
	now       time.Time
	at        int64
	wholeHash uint64
	priority  int
	shed      int
	tiers     [tierCount]candidates
}

// candidates is a list whose first members need no allocation.
type candidates struct {
	n      int
	inline [inlineSize]*member
	more   []*member
}

func (l *candidates) add(m *member) {
	if l.n < inlineSize {
		l.inline[l.n] = m
	} else {
		l.more = append(l.more, m)
	}
	l.n++
}

func (l *candidates) at(i int) *member {
	if i < inlineSize {
		return l.inline[i]
	}
	return l.more[i-inlineSize]
}

func (s *selection) add(m *member, exclude []string) {
	target := m.target()
	if m.drained.Load() || excluded(target.Name, exclude) || s.chooser.silent(m, s.at) {
		return
	}
	if m.sheds(s.now, s.priority, s.wholeHash) {
		s.shed++
		return
	}
	switch {
	case s.at < m.ejectedUntil.Load():
		s.tiers[tierEject].add(m)
	case target.State == Warming:
		s.tiers[tierWarm].add(m)
	default:
		if target.FailureDomain == s.chooser.failureDomain && !s.pressed(m) {
			s.tiers[tierNear].add(m)
		}
		s.tiers[tierAny].add(m)
	}
}

// pressed reports whether the target shows queueing or refuses.
func (s *selection) pressed(m *member) bool {
	if level := m.level.Load(); level != nil && s.now.Before(level.ValidUntil) {
		return true
	}
	latency := m.expectedLatency(s.at)
	return latency > pressureLatencies*m.best.Load()+int64(pressureSlack) ||
		m.refusalShare(s.at) > pressureRefusals
}

// pick takes the cheaper of two random candidates of the best tier that has any.
func (s *selection) pick(random uint64) *member {
	for i := range s.tiers {
		list := &s.tiers[i]
		if tier(i) > tierAny && s.shed > 0 {
			return nil
		}
		if list.n > 0 {
			return s.pickOf(list, random)
		}
	}
	return nil
}

func (s *selection) pickOf(list *candidates, random uint64) *member {
	first := int(uint32(random)) % list.n
	a := list.at(first)
	if list.n == 1 {
		return a
	}
	second := (first + 1 + int(random>>32)%(list.n-1)) % list.n
	b := list.at(second)
	latencyA, latencyB := a.expectedLatency(s.at), b.expectedLatency(s.at)
	if latencyA == 0 || latencyB == 0 {
		latencyA, latencyB = 1, 1 // one is not measured yet
	}
	if s.cost(b, latencyB) < s.cost(a, latencyA) {
		return b
	}
	return a
}

// cost compares what one more call waits at m; the announced slots are a hint of its size.
func (s *selection) cost(m *member, latency int64) float64 {
	slots := m.target().Slots
	if slots <= 0 {
		slots = unknownSlots
	}
	cost := float64(latency) * float64(m.inFlight.Load()+1) / (float64(slots) * s.chooser.weight(m, s.at))
	return cost * (1 + refusalCost*m.refusalShare(s.at))
}

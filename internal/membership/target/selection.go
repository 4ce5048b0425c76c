package target

import (
	"time"

	"sapphirespread.example/priority"
)

// A tier is how willingly a target is chosen; a target of an earlier tier may be of a later one too.
type tier uint8

const (
	tierNear  tier = iota // own failure domain, no sign of pressure
	tierHome              // own failure domain, under pressure
	tierAny               // able to serve
	tierWarm              // still warming
	tierEject             // ejected for failures: last resort
	tierNone              // gets nothing
	tierCount
)

const (
	pressureRefusals  = 0.05
	pressureLatencies = 4
	pressureSlack     = time.Millisecond
	refusalCost       = 10.0
	failureCost       = 20.0
	unknownSlots      = 64
	inlineMembers     = 64 // members of a service that a choice sorts without an allocation
)

// selection sorts the targets of one service into tiers for one choice.
type selection struct {
	chooser *Chooser
	now     time.Time
	at      int64
	origin  priority.Origin
	members []*member
	inline  [inlineMembers]tier
	more    []tier // of the members beyond the inline ones
	counts  [tierCount]int
	shed    int
	least   float64 // share of requests like this one that even the laxest target sheds
}

func (s *selection) sort(exclude []string) {
	for i, m := range s.members {
		t := s.tierOf(m, exclude)
		s.counts[t]++
		if i < inlineMembers {
			s.inline[i] = t
		} else {
			s.more = append(s.more, t)
		}
	}
	s.counts[tierAny] += s.counts[tierNear] + s.counts[tierHome]
}

func (s *selection) tierOf(m *member, exclude []string) tier {
	target := m.target()
	if m.drained.Load() || excluded(target.Name, exclude) || s.chooser.silent(m, s.at) {
		return tierNone
	}
	share := m.shareShed(s.now, s.origin)
	s.least = min(s.least, share)
	if s.origin.ShedBy(share) {
		s.shed++
		return tierNone
	}
	switch {
	case s.at < m.ejectedUntil.Load():
		return tierEject
	case target.State == Warming:
		return tierWarm
	case target.FailureDomain != s.chooser.failureDomain:
		return tierAny
	case s.pressed(m):
		return tierHome
	default:
		return tierNear
	}
}

func (s *selection) sorted(i int) tier {
	if i < inlineMembers {
		return s.inline[i]
	}
	return s.more[i-inlineMembers]
}

// nth returns the nth member of tier t.
func (s *selection) nth(t tier, n int) *member {
	for i, m := range s.members {
		of := s.sorted(i)
		if of != t && (t != tierAny || of > tierAny) {
			continue
		}
		if n == 0 {
			return m
		}
		n--
	}
	return nil
}

// pressed reports whether the target shows queueing or refuses.
func (s *selection) pressed(m *member) bool {
	if level := m.level.Load(); level != nil && s.now.Before(level.ValidUntil) {
		return true
	}
	latency := m.expectedLatency(s.at)
	return latency > pressureLatencies*m.best.Load()+int64(pressureSlack) ||
		m.refused.within(s.at, refusalMemory) > pressureRefusals
}

// pick takes the cheaper of two random candidates of the best tier that has any.
func (s *selection) pick(random uint64) *member {
	if s.counts[tierNear] > 0 {
		return s.pickOf(tierNear, random)
	}
	for t := tierAny; t < tierNone; t++ {
		if t > tierAny && s.shed > 0 {
			return nil
		}
		if s.counts[t] > 0 {
			return s.pickOf(t, random)
		}
	}
	return nil
}

// pickOf compares two candidates of a tier. Where far targets cost more, and the own failure domain is under pressure, one of
// them is of it: calls leave it for what is clearly cheaper, not for what is as full.
func (s *selection) pickOf(t tier, random uint64) *member {
	n := s.counts[t]
	if n == 1 {
		return s.nth(t, 0)
	}
	first, second := int(uint32(random)), int(random>>32)
	other := (first%n + 1 + second%(n-1)) % n
	a, b := s.nth(t, first%n), s.nth(t, other)
	if homes := s.counts[tierHome]; t == tierAny && homes > 0 && s.chooser.farCost > 1 {
		a = s.nth(tierHome, first%homes)
		if a == b {
			b = s.nth(t, (other+1)%n)
		}
	}
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
	if own := s.chooser.failureDomain; own != "" && m.target().FailureDomain != own {
		cost *= s.chooser.farCost
	}
	return cost * (1 + refusalCost*m.refused.within(s.at, refusalMemory) + failureCost*(m.failed.fading(s.at, failureMemory)+m.errored.fading(s.at, failureMemory)))
}

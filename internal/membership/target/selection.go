package target

import (
	"time"

	"sapphirespread.example/priority"
)

// tier ranks targets by preference, the most preferred first. Targets of the first two tiers also belong to
// tierServing.
type tier uint8

const (
	tierOwnDomain        tier = iota // own failure domain, not under pressure
	tierOwnDomainPressed             // own failure domain, under pressure
	tierServing                      // any failure domain, able to serve
	tierWarming                      // still warming
	tierEjected                      // ejected for failures, last resort
	tierExcluded                     // excluded, draining, silent, out of use, or sheds the request
	tierCount
)

const (
	pressureRefusedShare    = 0.05
	pressureLatencyMultiple = 4
	pressureLatencySlack    = time.Millisecond
	refusalPenalty          = 10.0
	failurePenalty          = 20.0
	defaultSlots            = 64
	inlineMembers           = 128 // a choice among more members allocates memory
)

// selection classifies the targets of one service into tiers for one choice.
type selection struct {
	chooser       *Chooser
	now           time.Time
	at            int64 // offset of now, see Chooser.offset
	origin        priority.Origin
	members       []*member
	inlineTiers   [inlineMembers]tier
	overflowTiers []tier // tiers of the members beyond inlineMembers
	counts        [tierCount]int
	shedCount     int
	random        uint64
	routing       *serviceRouting // nil unless most targets report their load
	paced         bool            // a target asks for less than its usual calls
	maxPace       float64         // largest share of its usual calls that an able target asks for, see reportedPace
	minShedShare  float64         // lowest share of requests of this origin that any target sheds
}

func (s *selection) classify(exclude []string) {
	if len(s.members) > 0 && s.members[0].routing.reporting.Load() {
		s.routing = s.members[0].routing
	}
	for i, m := range s.members {
		t := s.tierOf(m, exclude)
		if t < tierWarming {
			s.maxPace = max(s.maxPace, m.pace.share(s.at))
		}
		s.counts[t]++
		if i < inlineMembers {
			s.inlineTiers[i] = t
		} else {
			s.overflowTiers = append(s.overflowTiers, t)
		}
	}
	if s.paced {
		s.holdBack()
	}
	s.counts[tierServing] += s.counts[tierOwnDomain] + s.counts[tierOwnDomainPressed]
}

func (s *selection) tierOf(m *member, exclude []string) tier {
	target := m.target()
	if m.drained.Load() || excluded(target.Name, exclude) || s.chooser.isOutOfUse(target) || s.chooser.isSilent(m, s.at) {
		return tierExcluded
	}
	s.paced = s.paced || m.pace.limited()
	share := 0.0
	if level := m.level.Load(); level != nil {
		share = level.ShareAt(s.now, s.origin)
	}
	if share < s.minShedShare {
		s.minShedShare = share
	}
	if share > 0 && s.origin.ShedBy(share) {
		s.shedCount++
		s.maxPace = max(s.maxPace, m.pace.share(s.at))
		return tierExcluded
	}
	switch {
	case s.at < m.ejectedUntil.Load():
		return tierEjected
	case target.State == Warming:
		return tierWarming
	case target.FailureDomain != s.chooser.failureDomain:
		return tierServing
	case s.routing == nil && s.underPressure(m):
		return tierOwnDomainPressed
	default:
		return tierOwnDomain
	}
}

func (s *selection) setTier(i int, t tier) {
	if i < inlineMembers {
		s.inlineTiers[i] = t
	} else {
		s.overflowTiers[i-inlineMembers] = t
	}
}

func (s *selection) tierAt(i int) tier {
	if i < inlineMembers {
		return s.inlineTiers[i]
	}
	return s.overflowTiers[i-inlineMembers]
}

// nth returns the nth member of tier t. Members of the own-domain tiers count as members of tierServing too.
func (s *selection) nth(t tier, n int) *member {
	for i, m := range s.members {
		memberTier := s.tierAt(i)
		if memberTier != t && (t != tierServing || memberTier > tierServing) {
			continue
		}
		if n == 0 {
			return m
		}
		n--
	}
	return nil
}

// underPressure reports whether the target sheds, queues or refuses calls.
func (s *selection) underPressure(m *member) bool {
	if level := m.level.Load(); level != nil && s.now.Before(level.ValidUntil) {
		return true
	}
	latency := m.expectedLatency(s.at)
	return latency > pressureLatencyMultiple*m.bestLatency.Load()+int64(pressureLatencySlack) ||
		m.refusedShare.recentShare(s.at, refusalWindow) > pressureRefusedShare
}

// pick returns the cheaper of two random members of the most preferred tier that has members. It returns nil rather
// than a warming or ejected target if a target sheds the request.
func (s *selection) pick(random uint64) *member {
	if s.routing != nil {
		if m := s.pickByLocality(random); m != nil {
			return m
		}
	}
	if s.counts[tierOwnDomain] > 0 {
		return s.pickFromTier(tierOwnDomain, random)
	}
	for t := tierServing; t < tierExcluded; t++ {
		if t > tierServing && s.shedCount > 0 {
			return nil
		}
		if s.counts[t] > 0 {
			return s.pickFromTier(t, random)
		}
	}
	return nil
}

// pickByLocality returns the cheaper of two random members of the own failure domain, or of the others for the share of
// calls that leaves it. It returns nil if one of both sides has no members that can serve.
func (s *selection) pickByLocality(random uint64) *member {
	near := s.counts[tierOwnDomain]
	far := s.counts[tierServing] - near
	switch {
	case near == 0 || far == 0:
		return nil
	case s.routing.spill.Leaves(random):
		return s.pickOf(tierServing, far, random)
	default:
		return s.pickOf(tierOwnDomain, near, random)
	}
}

// pickOf returns the cheaper of two random ones of the n members whose own tier is t.
func (s *selection) pickOf(t tier, n int, random uint64) *member {
	a, b := int(uint32(random))%n, 0
	if n > 1 {
		b = (a + 1 + int(random>>32)%(n-1)) % n
	}
	var first, second *member
	for i, m := range s.members {
		if s.tierAt(i) != t {
			continue
		}
		if a == 0 {
			first = m
		}
		if b == 0 {
			second = m
		}
		if a, b = a-1, b-1; a < 0 && b < 0 {
			break
		}
	}
	return s.cheaper(first, second)
}

// pickFromTier returns the cheaper of two random members of tier t. If other failure domains cost more and the own one
// is under pressure, one of the two belongs to the own failure domain, so that calls leave it only for a clearly
// cheaper target and not for an equally loaded one.
func (s *selection) pickFromTier(t tier, random uint64) *member {
	n := s.counts[t]
	if n == 1 {
		return s.nth(t, 0)
	}
	first, second := int(uint32(random)), int(random>>32)
	other := (first%n + 1 + second%(n-1)) % n
	a, b := s.nth(t, first%n), s.nth(t, other)
	if ownDomain := s.counts[tierOwnDomainPressed]; t == tierServing && ownDomain > 0 && s.chooser.crossDomainCost > 1 {
		a = s.nth(tierOwnDomainPressed, first%ownDomain)
		if a == b {
			b = s.nth(t, (other+1)%n)
		}
	}
	return s.cheaper(a, b)
}

// cheaper returns b if it costs less than a, and otherwise a. Targets that both reported their load lately are compared
// by the expected time to completion.
func (s *selection) cheaper(a, b *member) *member {
	completionA, knownA := a.completion.Estimate(time.Duration(s.at))
	completionB, knownB := b.completion.Estimate(time.Duration(s.at))
	if knownA && knownB {
		if s.completionCost(b, completionB) < s.completionCost(a, completionA) {
			return b
		}
		return a
	}
	if s.routing != nil {
		s.routing.aged.Add(1)
	}
	latencyA, latencyB := a.expectedLatency(s.at), b.expectedLatency(s.at)
	if latencyA == 0 || latencyB == 0 {
		latencyA, latencyB = 1, 1 // a latency is not measured yet
	}
	if s.cost(b, latencyB) < s.cost(a, latencyA) {
		return b
	}
	return a
}

// completionCost returns the cost of m from the expected time to completion of one more call.
func (s *selection) completionCost(m *member, expected time.Duration) float64 {
	return s.penalize(m, float64(expected)/s.chooser.weight(m, s.at))
}

// cost estimates how long one more call waits at m, for comparison with other members. The announced slots stand for
// the target's capacity.
func (s *selection) cost(m *member, latency int64) float64 {
	slots := m.target().Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return s.penalize(m, float64(latency)*float64(m.inFlight.Load()+1)/(float64(slots)*s.chooser.weight(m, s.at)))
}

// penalize raises the cost of m for another failure domain and for recent refusals and failures.
func (s *selection) penalize(m *member, cost float64) float64 {
	if ownDomain := s.chooser.failureDomain; ownDomain != "" && m.target().FailureDomain != ownDomain {
		cost *= s.chooser.crossDomainCost
	}
	return cost * (1 + refusalPenalty*m.refusedShare.recentShare(s.at, refusalWindow) + failurePenalty*(m.failedShare.decayedShare(s.at, failureHalfLife)+m.erroredShare.decayedShare(s.at, failureHalfLife)))
}

package target

import (
	"sync/atomic"
	"time"
)

// FullPace is the pace of a target that takes all of its usual calls.
const FullPace = 64

// paceDoubling is the time after which a pace that is not renewed counts twice, so that a target whose daemon can't be
// heard doesn't stay idle.
const paceDoubling = 5 * time.Second

// reportedPace is the share of its usual calls that a target asks for, as last announced or reported by an answer.
type reportedPace struct {
	units      atomic.Int32 // in units of 1/FullPace, 0 if the target is not paced
	reportedAt atomic.Int64 // see Chooser.offset, 0 until the first choice after an announcement
}

// announce stores a pace from an announcement, whose time the chooser doesn't know.
func (p *reportedPace) announce(units int) {
	p.units.Store(int32(units))
	p.reportedAt.Store(0)
}

// report stores the pace of an answer.
func (p *reportedPace) report(at int64, units int) {
	p.units.Store(int32(units))
	p.reportedAt.Store(at)
}

// known reports whether the target's daemon paces it.
func (p *reportedPace) known() bool {
	return p.units.Load() > 0
}

// limited reports whether the target asks for less than its usual calls.
func (p *reportedPace) limited() bool {
	units := p.units.Load()
	return units > 0 && units < FullPace
}

// share returns the part of its usual calls that the target asks for, from 0 to 1.
func (p *reportedPace) share(at int64) float64 {
	units := p.units.Load()
	if units <= 0 || units >= FullPace {
		return 1
	}
	reportedAt := p.reportedAt.Load()
	if reportedAt == 0 {
		p.reportedAt.CompareAndSwap(0, at)
		reportedAt = at
	}
	doublings := max(at-reportedAt, 0) / int64(paceDoubling)
	return min(1, float64(units)/FullPace*float64(int64(1)<<min(doublings, 6)))
}

// holdBack leaves paced targets out of the choice by chance, each in proportion to the largest share that an able target asks
// for. One that sheds the request counts among them: what it sheds isn't for the others to take beyond their part.
func (s *selection) holdBack() {
	for i, m := range s.members {
		t := s.tierAt(i)
		if t >= tierWarming || float64(mix(s.random, i)>>11)/(1<<53)*s.maxPace < m.pace.share(s.at) {
			continue
		}
		s.counts[t]--
		s.counts[tierWarming]++
		s.setTier(i, tierWarming)
	}
}

// mix returns a random number that differs for each member of a choice.
func mix(random uint64, member int) uint64 {
	x := random + uint64(member+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

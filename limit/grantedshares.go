package limit

import (
	"maps"
	"math"
	"time"
)

const (
	// shareTimeConstant is that of the rate which a holder measures of its own spending.
	shareTimeConstant = fallbackRateTimeConstant
	// minimumShareTime is the shortest time over which grants count as a rate. Grants of the first moments, of which each
	// holder knows only those before its own, divide the rate of so much time.
	minimumShareTime = 500 * time.Millisecond
)

// grantedShares tells how the tokens granted lately are divided over the holders. Older tokens count less and less.
type grantedShares struct {
	total  decayingSum
	holder map[string]decayingSum
}

func newGrantedShares() grantedShares {
	return grantedShares{holder: make(map[string]decayingSum)}
}

// add counts tokens granted to a holder, or returned by it if tokens is negative.
func (s *grantedShares) add(now time.Time, holder string, tokens int64) {
	if tokens == 0 {
		return
	}
	s.total = s.total.plus(now, float64(tokens))
	s.holder[holder] = s.holder[holder].plus(now, float64(tokens))
}

// fallbackRate returns the rate at which a holder may spend while the owner is silent: its part of the tokens granted
// lately, of the whole rate. The rates of all holders together don't exceed the whole one.
func (s *grantedShares) fallbackRate(now time.Time, holder string, whole float64) float64 {
	granted := s.holder[holder].at(now)
	if granted == 0 {
		return 0
	}
	return whole * granted / max(s.total.at(now), whole*minimumShareTime.Seconds())
}

// forget removes the holders that were granted nothing for long.
func (s *grantedShares) forget(now time.Time) {
	maps.DeleteFunc(s.holder, func(_ string, sum decayingSum) bool { return now.Sub(sum.updatedAt) >= holderRetention })
}

// A decayingSum is a sum whose parts fade with shareTimeConstant.
type decayingSum struct {
	value     float64
	updatedAt time.Time
}

func (s decayingSum) at(now time.Time) float64 {
	elapsed := now.Sub(s.updatedAt)
	if elapsed <= 0 {
		return s.value
	}
	return s.value * math.Exp(-float64(elapsed)/float64(shareTimeConstant))
}

func (s decayingSum) plus(now time.Time, value float64) decayingSum {
	return decayingSum{value: max(0, s.at(now)+value), updatedAt: now}
}

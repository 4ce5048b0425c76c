package limit

import (
	"math"
	"time"
)

const (
	// recentUseTimeConstant is that of the rate which a holder measures of its own spending.
	recentUseTimeConstant = fallbackRateTimeConstant
	// minimumMeasuredTime is the shortest time over which tokens count as a rate. In less, a burst looks like any rate.
	minimumMeasuredTime = 500 * time.Millisecond
)

// recentUse tells how fast the tokens of a workspace were granted lately. Older ones fade with recentUseTimeConstant.
type recentUse struct {
	startedAt time.Time
	tokens    float64
	updatedAt time.Time
}

// add counts granted tokens, or returned ones if tokens is negative.
func (u *recentUse) add(now time.Time, tokens int64) {
	if u.startedAt.IsZero() {
		u.startedAt = now
	}
	u.tokens = max(0, u.fadedTokens(now)+float64(tokens))
	u.updatedAt = now
}

func (u *recentUse) fadedTokens(now time.Time) float64 {
	return u.tokens * math.Exp(-max(0, float64(now.Sub(u.updatedAt)))/float64(recentUseTimeConstant))
}

// shareWithin returns the share of the recent use that is within rate, from 0 to 1.
func (u *recentUse) shareWithin(now time.Time, rate float64) float64 {
	tokens := u.fadedTokens(now)
	if tokens == 0 {
		return 1
	}
	measured := recentUseTimeConstant.Seconds() * -math.Expm1(-float64(now.Sub(u.startedAt))/float64(recentUseTimeConstant))
	return min(1, rate*max(measured, minimumMeasuredTime.Seconds())/tokens)
}

package limit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fallbackDelay is a few times the round trip to the owner and shorter than the lifetime of a grant.
	fallbackDelay = 100 * time.Millisecond
	// fallbackBurstSeconds limits how many unspent tokens accumulate, in seconds of the rate. A workspace with a few
	// requests a second sends them unevenly. The total spent stays within one token and the rate times the silence.
	fallbackBurstSeconds = 1.0
	// fallbackHeadStart is the spending, in seconds of the rate, that a silence of a pressed workspace may begin with. It
	// allows for requests that were waiting for a grant when the owner fell silent.
	fallbackHeadStart = 0.25
	// fallbackRateTimeConstant is long enough to measure the rate of workspaces with few requests.
	fallbackRateTimeConstant = 2 * time.Second
)

// minimumWeight is the weight of observations over minimumMeasuredTime.
var minimumWeight = -math.Expm1(-float64(minimumMeasuredTime) / float64(fallbackRateTimeConstant))

// fallbackBucket is a local token bucket for spending while the owner is silent, refilled at the recently observed
// rate.
type fallbackBucket struct {
	rate       float64 // moving average of tokens spent per second from any source, biased toward zero by weight
	weight     float64 // total weight of the observations in rate, from 0 to 1
	tokens     float64
	refilledAt time.Time
	// share is the share of the rate that the owner told last, or 1 if it has told none.
	share float64

	silentSince   time.Time // when the last silence began
	recent        int64     // tokens spent in that silence
	total         int64     // tokens spent in all silences
	reportedTotal int64     // total when it was last collected for the owner
}

func newFallbackBucket() fallbackBucket { return fallbackBucket{share: 1} }

// updateRate adds an observed spending rate, in tokens per second, to the moving average.
func (b *fallbackBucket) updateRate(elapsed time.Duration, observed float64) {
	weight := float64(elapsed) / float64(elapsed+fallbackRateTimeConstant)
	b.rate += weight * (observed - b.rate)
	b.weight += weight * (1 - b.weight)
}

// refillRate returns the average rate, corrected for the bias toward zero of the first seconds, as far as the owner lets the
// workspace go on: what was spent of a burst is no rate to go on with.
func (b *fallbackBucket) refillRate() float64 {
	if b.weight == 0 {
		return 0
	}
	return b.share * b.rate / max(b.weight, minimumWeight)
}

// spend takes tokens that have accumulated since the owner became silent, all or none. The first token of each silence is
// available at once, unless the workspace used up its limit before: it may be requested at many holders, each of which
// would spend one beyond the limit.
func (b *fallbackBucket) spend(now time.Time, tokens int64, silence time.Duration, pressed bool) bool {
	since := now.Add(-silence)
	if b.refilledAt.Before(since) {
		b.refilledAt, b.silentSince, b.recent = since, since, 0
		b.tokens = 1
		if pressed {
			b.tokens = min(1, initialTokens(since)+fallbackHeadStart*b.refillRate())
		}
	}
	elapsed := now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	rate := b.refillRate()
	b.tokens = min(b.tokens+rate*elapsed, 1+fallbackBurstSeconds*rate)
	if b.tokens < float64(tokens) {
		return false
	}
	b.tokens -= float64(tokens)
	b.recent += tokens
	b.total += tokens
	return true
}

// initialTokens returns the part of a token with which a silence of a pressed workspace begins. It is spread evenly from
// 0 to 1 over the holders and silences, so that many holders with less than one request a second each spend no more than
// their rates together.
func initialTokens(since time.Time) float64 {
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], uint64(since.UnixNano()))
	return float64(xxhash.Sum64(encoded[:])) / (1 << 64)
}

// spendFallback spends tokens of the fallback bucket if the owner has been silent for at least fallbackDelay and for
// less than the maximum of h. It reports the first spending of each silence.
func (a *account) spendFallback(now time.Time, tokens int64, h *Holder) bool {
	silence, disconnected := h.ownerSilence(now)
	if silence < fallbackDelay || silence >= h.maximumFallback {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	event := FallbackEvent{
		Workspace: a.workspace, Silence: silence, Disconnected: disconnected,
		Rate: a.fallback.refillRate(), Pressed: h.isPressed(a.workspace), Spent: a.fallback.total,
	}
	if !a.fallback.spend(now, tokens, silence, event.Pressed) {
		return false
	}
	a.spent += tokens
	h.fallbackTokens.Add(tokens)
	h.unreportedFallback.Store(true)
	if a.fallback.recent == tokens {
		h.fallbackEvent(event)
	}
	return true
}

package load

import (
	"math"
	"time"
)

// decayedMean is a mean in which the weight of each sample halves after a half-life.
type decayedMean struct {
	halfLife    time.Duration
	sum, weight float64
	at          time.Time
}

func newDecayedMean(halfLife time.Duration) decayedMean { return decayedMean{halfLife: halfLife} }

func (m *decayedMean) add(now time.Time, sample float64) {
	keep := math.Exp2(-float64(max(now.Sub(m.at), 0)) / float64(m.halfLife))
	m.sum = m.sum*keep + sample
	m.weight = m.weight*keep + 1
	m.at = now
}

// mean returns the mean, or 0 without samples.
func (m *decayedMean) mean() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

package load

import "time"

const (
	// evidenceHalfLife covers some hundred answers of a busy server, whose work differs from call to call.
	evidenceHalfLife = 5 * time.Second
	// initialEvidence is the weight of the assumption that a stated slowness says nothing.
	initialEvidence = 4.0
)

// evidence estimates how far the service times of a server follow the slowness that it states: the slope of the linear
// regression of the one on the other, both in proportion to their means.
type evidence struct {
	products decayedMean // of the deviations of both from 1
	squares  decayedMean // of the deviation of the slowness from 1
}

func newEvidence() evidence {
	return evidence{products: newDecayedMean(evidenceHalfLife), squares: newDecayedMean(evidenceHalfLife)}
}

func (e *evidence) add(now time.Time, slowness, serviceTime float64) {
	e.products.add(now, (slowness-1)*(serviceTime-1))
	e.squares.add(now, (slowness-1)*(slowness-1))
}

// trust returns the slope, from 0 if the service times don't follow the stated slowness to 1 if they follow it fully.
func (e *evidence) trust() float64 {
	return min(max(e.products.sum/(e.squares.sum+initialEvidence), 0), 1)
}

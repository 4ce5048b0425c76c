package priority

import "time"

const (
	// returnTimeGain and returnDeviationGain are the weights of a new observation, as in the estimate of TCP's
	// retransmission timer.
	returnTimeGain      = 1.0 / 8
	returnDeviationGain = 1.0 / 4
	returnDeviations    = 4
	minReturnSlack      = 20 * time.Millisecond
	// maxReturnShare limits the margin to a part of the remaining time, so that a slow path still leaves time to wait.
	maxReturnShare = 4
)

// A ReturnTime estimates how long before its deadline a waiting call must be refused, so that the refusal arrives at the
// sender in time. The zero value is an estimate without observations.
type ReturnTime struct {
	mean      time.Duration
	deviation time.Duration
	observed  bool
}

// Observe adds the time that one call spent on the way to the target and back.
func (r *ReturnTime) Observe(elapsed time.Duration) {
	elapsed = max(elapsed, 0)
	if !r.observed {
		*r = ReturnTime{mean: elapsed, deviation: elapsed / 2, observed: true}
		return
	}
	difference := elapsed - r.mean
	r.mean += time.Duration(returnTimeGain * float64(difference))
	r.deviation += time.Duration(returnDeviationGain * float64(difference.Abs()-r.deviation))
}

// Margin returns how long before the deadline of a call with the given remaining time its refusal must be sent.
func (r *ReturnTime) Margin(remaining time.Duration) time.Duration {
	margin := r.mean + max(returnDeviations*r.deviation, minReturnSlack)
	return max(0, min(margin, remaining/maxReturnShare))
}

package pace

import (
	"time"

	"sapphirespread.example/priority"
)

const (
	roundAnswers    = 8
	minRound        = 100 * time.Millisecond
	longRound       = time.Second // after which fewer answers are enough
	badAnswers      = 3           // failures that end a round at once, if they are more than badShare of its answers
	badShare        = 0.2
	badErrorShare   = 0.5 // errors may be the requests' own
	heldSlowness    = 1.6 // mean latency relative to the best of the route, above which the rate isn't raised
	crowdedSlowness = 2.5 // the same, above which it is lowered
	crowdedAnswers  = 16  // fewer vary too much to lower a rate for their latency
	// crowdingDivisor is the part of a rise in latency that the rise in requests at a time has to reach to explain it.
	crowdingDivisor = 2
)

// A verdict is the judgement on one round.
type verdict uint8

const (
	undecided verdict = iota
	good
	held    // slower than at its best
	crowded // much slower than at its best
	failed
)

// round judges the answers to the requests that started in it.
type round struct {
	start    time.Time
	answers  int
	failures int
	errors   int
	slowness float64 // sum over the answers of their latency relative to the best of the route
	running  float64 // sum over the answers of the requests at a time, relative to those at the best latency
}

// add records the end of a run and returns the verdict on the round, if it is over. Failures count whenever their runs
// started, as they show the present state of the server.
func (r *round) add(now time.Time, slowness, running float64, result priority.Result) verdict {
	switch result.Cause {
	case priority.CauseAborted:
		return undecided
	case priority.CauseRefused, priority.CauseBroken:
		r.failures++
		r.answers++
	default:
		if now.Add(-result.Latency).Before(r.start) {
			return undecided
		}
		r.answers++
		r.slowness += slowness
		r.running += running
		if result.Cause == priority.CauseErrored {
			r.errors++
		}
	}
	return r.judge(now)
}

func (r *round) judge(now time.Time) verdict {
	if r.failures >= badAnswers && float64(r.failures) > badShare*float64(r.answers) ||
		r.errors >= badAnswers && float64(r.errors) > badErrorShare*float64(r.answers) {
		return failed
	}
	elapsed := now.Sub(r.start)
	if elapsed < minRound || r.answers < roundAnswers && elapsed < longRound {
		return undecided
	}
	answered := r.answers - r.failures
	switch {
	case answered == 0:
		return failed
	case r.running < r.slowness/crowdingDivisor:
		return good // the server's own variation, as no more requests at a time explain it
	case r.answers >= crowdedAnswers && r.slowness > crowdedSlowness*float64(answered):
		return crowded
	case r.slowness > heldSlowness*float64(answered):
		return held
	default:
		return good
	}
}

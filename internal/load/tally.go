package load

import (
	"time"

	"sapphirespread.example/refusal"
)

// A Tally counts what came of the requests of one workspace.
type Tally struct {
	Workspace string `json:"workspace"`
	// Offered counts requests, Attempts how often they were sent, Answerable those requests whose
	// first attempt was within the rate and burst.
	Offered    int64 `json:"offered"`
	Attempts   int64 `json:"attempts"`
	Answerable int64 `json:"answerable"`
	Good       int64 `json:"good"`
	// Within counts attempts within the rate and burst.
	Within int64 `json:"within"`
	// RateRefused counts attempts refused as over the rate, SteadyRefused those refused as not run
	// while within the rate and in a steady time.
	RateRefused   int64 `json:"rate-refused"`
	SteadyRefused int64 `json:"steady-refused"`
	SteadyWithin  int64 `json:"steady-within"`
}

// WrongfullyRefused returns how many attempts within the rate were refused: for their rate at any
// time, or for another reason in a steady time.
func (t Tally) WrongfullyRefused() int64 {
	return t.WrongfullyOverRate() + t.SteadyRefused
}

// WrongfullyOverRate returns how many attempts were refused for their rate beyond those that were over it.
func (t Tally) WrongfullyOverRate() int64 {
	let := t.Attempts - t.RateRefused
	return max(t.Within-let, 0)
}

func (t *Tally) add(other Tally) {
	t.Offered += other.Offered
	t.Attempts += other.Attempts
	t.Answerable += other.Answerable
	t.Good += other.Good
	t.Within += other.Within
	t.RateRefused += other.RateRefused
	t.SteadyRefused += other.SteadyRefused
	t.SteadyWithin += other.SteadyWithin
}

// attempt counts one attempt with its outcome.
func (t *Tally) attempt(within, steady bool, outcome Outcome) {
	t.Attempts++
	if within {
		t.Within++
	}
	if within && steady {
		t.SteadyWithin++
	}
	if !outcome.notRun() {
		return
	}
	if outcome.Kind == refusal.RateExceeded {
		t.RateRefused++
	} else if within && steady {
		t.SteadyRefused++
	}
}

// A Moment is the state of a run in one interval of the record.
type Moment struct {
	At time.Duration `json:"at"`
	// Arrived counts requests that arrived in the interval and Served those of them that were
	// answered well at any time; Good counts good answers that came in the interval.
	Arrived int64 `json:"arrived"`
	Served  int64 `json:"served"`
	Good    int64 `json:"good"`
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
}

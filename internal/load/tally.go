package load

import (
	"time"

	"sapphirespread.example/refusal"
)

// Tally counts the requests and attempts of one workspace by result.
type Tally struct {
	Workspace string `json:"workspace"`
	// Offered counts requests, Attempts how often they were sent, and Answerable the requests whose first attempt
	// was within the rate and burst.
	Offered    int64 `json:"offered"`
	Attempts   int64 `json:"attempts"`
	Answerable int64 `json:"answerable"`
	Good       int64 `json:"good"`
	// Within counts attempts within the rate and burst.
	Within int64 `json:"within"`
	// RateRefused counts attempts refused before they ran for exceeding the rate. SteadyWithin counts attempts
	// within the rate during a steady period, and SteadyRefused those of them refused before they ran for any
	// other reason.
	RateRefused   int64 `json:"rate-refused"`
	SteadyRefused int64 `json:"steady-refused"`
	SteadyWithin  int64 `json:"steady-within"`
}

// WrongfullyRefused returns the number of attempts within the rate that were refused: for their rate at any time,
// or for another reason during a steady period.
func (t Tally) WrongfullyRefused() int64 {
	return t.WrongfullyOverRate() + t.SteadyRefused
}

// WrongfullyOverRate returns by how many attempts the rate refusals exceed the attempts that were over the rate.
func (t Tally) WrongfullyOverRate() int64 {
	notRateRefused := t.Attempts - t.RateRefused
	return max(t.Within-notRateRefused, 0)
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

// addAttempt counts one attempt and its outcome.
func (t *Tally) addAttempt(within, steady bool, outcome Outcome) {
	t.Attempts++
	if within {
		t.Within++
	}
	if within && steady {
		t.SteadyWithin++
	}
	if !outcome.refusedBeforeRun() {
		return
	}
	if outcome.Kind == refusal.RateExceeded {
		t.RateRefused++
	} else if within && steady {
		t.SteadyRefused++
	}
}

// IntervalCounts counts the requests and answers of one interval of a run.
type IntervalCounts struct {
	At time.Duration `json:"at"`
	// Arrived counts the requests that arrived in the interval, and Served those of them that got a good answer at
	// any time. Good counts the good answers received in the interval.
	Arrived int64 `json:"arrived"`
	Served  int64 `json:"served"`
	Good    int64 `json:"good"`
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
}

package trace

import (
	"fmt"
	"time"
)

// A BudgetCall names a recorded call to a retry budget.
type BudgetCall string

// The recorded calls to a retry budget. SetBudget records its creation with its settings.
const (
	SetBudget BudgetCall = "set"
	Success   BudgetCall = "success"
	Withdraw  BudgetCall = "withdraw"
	Charge    BudgetCall = "charge"
)

// A BudgetStep is one recorded call to the retry budget of a service.
type BudgetStep struct {
	At      time.Duration `json:"at"`
	Call    BudgetCall    `json:"call"`
	Service string        `json:"service"`
	Share   float64       `json:"share,omitempty"`
	Minimum float64       `json:"minimum,omitempty"` // retries per second
	Granted bool          `json:"-"`
}

// Time returns the time of the call since the start of the recording.
func (s BudgetStep) Time() time.Duration { return s.At }

// Outcome returns a line that says whether a retry was granted, or nothing for other calls.
func (s BudgetStep) Outcome() []string {
	if s.Call != Withdraw {
		return nil
	}
	return []string{fmt.Sprintf("%s retry: %t", s.Service, s.Granted)}
}

package trace

import (
	"fmt"
	"time"
)

// A BudgetCall is what a retry budget was asked.
type BudgetCall string

// The calls of a retry budget, and its settings.
const (
	SetBudget BudgetCall = "set"
	Success   BudgetCall = "success"
	Withdraw  BudgetCall = "withdraw"
)

// A BudgetStep is one call of the retry budget of a service.
type BudgetStep struct {
	At      time.Duration `json:"at"`
	Call    BudgetCall    `json:"call"`
	Service string        `json:"service"`
	Share   float64       `json:"share,omitempty"`
	Minimum float64       `json:"minimum,omitempty"` // retries a second
	Granted bool          `json:"-"`
}

// Time returns when the budget was called.
func (s BudgetStep) Time() time.Duration { return s.At }

// Outcome returns whether a retry was granted.
func (s BudgetStep) Outcome() []string {
	if s.Call != Withdraw {
		return nil
	}
	return []string{fmt.Sprintf("%s retry: %t", s.Service, s.Granted)}
}

package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/retry"
)

// chainLevel is a service of a chain that makes one call to the next one in each run, with the budget of its callers.
type chainLevel struct {
	budget      *retry.Budget
	successes   []time.Time
	beyondFirst []time.Time // extra attempts, and calls of runs that were repeats
	refusal     int         // percentage of calls that are refused
}

const (
	chainShare   = 0.2
	chainMinimum = 0.1 // retries per second
	chainDepth   = 4
)

// call sends a request down the chain, once more where the first attempt is refused and the budget allows it. It checks that
// an extra attempt is allowed only while all calls beyond the first of each request stay within the share.
func call(t *rapid.T, now time.Time, chain []*chainLevel, repeat bool) bool {
	if len(chain) == 0 {
		return true
	}
	level := chain[0]
	if repeat {
		level.budget.Charge(now)
	}
	for extra := false; ; extra = true {
		if repeat || extra {
			level.beyondFirst = append(level.beyondFirst, now)
		}
		if rapid.IntRange(0, 99).Draw(t, "refused") >= level.refusal {
			ok := call(t, now, chain[1:], repeat || extra)
			if ok {
				level.budget.Success(now)
				level.successes = append(level.successes, now)
			}
			return ok
		}
		if extra || !level.budget.Withdraw(now) {
			return false
		}
		bound := chainShare*float64(countWithin(level.successes, now, 10*time.Second)) + chainMinimum*10
		if got := countWithin(level.beyondFirst, now, 9*time.Second) + 1; float64(got) > bound {
			t.Fatalf("%d levels above the last, call %d beyond the first of a request was allowed, want at most %.1f", len(chain)-1, got, bound)
		}
	}
}

// TestRepeatsOfATreeStayWithinTheShare guards against extra attempts that multiply down a chain of services, where each
// repeated run calls the services below once more.
func TestRepeatsOfATreeStayWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var chain []*chainLevel
		for range chainDepth {
			refusal := rapid.SampledFrom([]int{0, 5, 30, 55}).Draw(t, "refusal")
			chain = append(chain, &chainLevel{budget: retry.NewBudget(chainShare, chainMinimum), refusal: refusal})
		}
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			call(t, now, chain, false)
		}
	})
}

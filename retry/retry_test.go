package retry_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/retry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// callTree simulates a random tree of calls over a network that loses, duplicates and reorders answers.
type callTree struct {
	t             *rapid.T
	attempts      int // in the whole tree
	extraAttempts int // attempts beyond the first of each call, in the whole tree
	lateAnswers   []lateAnswer
}

type lateAnswer struct {
	reservation *retry.Reservation
	unused      int
}

const maxDepth = 8

// call simulates one call with an allowance and returns the unused rest of it.
func (tr *callTree) call(level, allowance int) int {
	own := retry.NewAllowance(allowance)
	if level == maxDepth {
		return own.Left()
	}
	for range rapid.IntRange(0, 2).Draw(tr.t, "children") {
		for attempt := 0; ; attempt++ {
			if attempt > 0 {
				if own.Take(1) == 0 {
					break
				}
				tr.extraAttempts++
			}
			if tr.attempt(level, own) {
				break
			}
		}
	}
	return own.Left()
}

// attempt simulates one attempt of a nested call and reports whether a successful answer arrived.
func (tr *callTree) attempt(level int, own *retry.Allowance) bool {
	tr.attempts++
	reservation := own.Reserve(rapid.IntRange(0, own.Left()).Draw(tr.t, "moved"))
	unused := tr.call(level+1, reservation.Size())
	outcome := rapid.SampledFrom([]string{"good", "good", "failed", "repeated", "lost", "late"}).Draw(tr.t, "fate")
	switch outcome {
	case "lost":
		return false
	case "late":
		tr.lateAnswers = append(tr.lateAnswers, lateAnswer{reservation, unused})
		return false
	case "repeated":
		reservation.Release(unused)
		reservation.Release(unused)
	default:
		reservation.Release(unused)
	}
	if len(tr.lateAnswers) > 0 && rapid.Bool().Draw(tr.t, "crossed") {
		i := rapid.IntRange(0, len(tr.lateAnswers)-1).Draw(tr.t, "which")
		tr.lateAnswers[i].reservation.Release(tr.lateAnswers[i].unused)
	}
	return outcome != "failed"
}

func TestExtraAttemptsStayWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := rapid.IntRange(0, 6).Draw(t, "allowance")
		tr := &callTree{t: t}
		left := tr.call(1, allowance)
		if tr.extraAttempts > allowance || tr.extraAttempts+left > allowance {
			t.Fatalf("got %d extra attempts and %d left, want at most %d in total", tr.extraAttempts, left, allowance)
		}
	})
}

func TestConcurrentTakesNeverExceed(t *testing.T) {
	allowance := retry.NewAllowance(100)
	var workers sync.WaitGroup
	taken := make([]int, 8)
	for i := range taken {
		workers.Go(func() {
			for range 50 {
				reservation := allowance.Reserve(1)
				taken[i] += reservation.Size()
			}
		})
	}
	workers.Wait()
	sum := allowance.Left()
	for _, n := range taken {
		sum += n
	}
	if sum != 100 {
		t.Errorf("got %d attempts taken or left, want 100", sum)
	}
}

func TestBudgetIsShareOfSuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, minimum = 0.1, 0.5
		budget := retry.NewBudget(share, minimum)
		now := start
		var successes, retries []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "op") > 0 {
				budget.Success(now)
				successes = append(successes, now)
				continue
			}
			if !budget.Withdraw(now) {
				continue
			}
			retries = append(retries, now)
			bound := share*float64(countWithin(successes, now, 10*time.Second)) + minimum*10
			if got := countWithin(retries, now, 9*time.Second); float64(got) > bound {
				t.Fatalf("got %d retries within 9 s, want at most %.1f", got, bound)
			}
		}
	})
}

func countWithin(times []time.Time, now time.Time, window time.Duration) (n int) {
	for _, at := range times {
		if now.Sub(at) < window {
			n++
		}
	}
	return n
}

func TestBudgetRecovers(t *testing.T) {
	budget := retry.NewBudget(0, 0.1)
	if !budget.Withdraw(start) || budget.Withdraw(start) {
		t.Error("a minimum of 0.1 retries per second must allow exactly one retry in 10 s")
	}
	if !budget.Withdraw(start.Add(10 * time.Second)) {
		t.Error("no retry allowed after the window has passed")
	}
}

func TestJitterBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	seen := make(map[time.Duration]bool)
	for attempt := range 20 {
		if wait := retry.Backoff(random, attempt); wait < 5*time.Millisecond || wait > time.Second {
			t.Errorf("attempt %d: got a wait of %s, want between 5 ms and 1 s", attempt, wait)
		}
		after := retry.JitterRetryAfter(random, time.Second)
		if after < time.Second || after > 2*time.Second {
			t.Errorf("got a Retry-After of %s, want between 1 s and 2 s", after)
		}
		seen[after] = true
	}
	if len(seen) < 15 {
		t.Errorf("got %d distinct waits of 20, want at least 15", len(seen))
	}
}

// TestResendsShareOneAllowance checks that all sends of a request within the window share one allowance, and
// that another request, or a send after the window, gets its own. The record is bounded to 3 requests per
// shard.
func TestResendsShareOneAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		tracker := retry.NewResendTracker(retry.WithResendBound(3), retry.WithResendWindow(time.Second))
		key := retry.ResendKey{Workspace: "club", Route: "book", IdempotencyKey: "k"}
		now, extraAttempts := start, 0
		for sending := range rapid.IntRange(1, 10).Draw(t, "sendings") {
			now = now.Add(time.Duration(rapid.IntRange(0, 99).Draw(t, "ms")) * time.Millisecond)
			extraAttempts += tracker.AllowanceFor(now, key, n).Take(rapid.IntRange(0, 3).Draw(t, "taken"))
			if extraAttempts > n {
				t.Fatalf("got %d extra attempts, want at most %d, after %d sends", extraAttempts, n, sending+1)
			}
		}
		other := key
		other.Workspace = "agency"
		if tracker.AllowanceFor(now, other, n).Left() != n || tracker.AllowanceFor(now.Add(2*time.Second), key, n).Left() != n {
			t.Fatal("another request, or one after the window, must have its own allowance")
		}
	})
}

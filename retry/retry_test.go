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

// tree runs one random call tree over a network that loses, repeats and crosses answers.
type tree struct {
	t        *rapid.T
	attempts int // runs of the call at the root
	extra    int // attempts beyond the first of any call, in the whole tree
	late     []lateAnswer
}

type lateAnswer struct {
	part   *retry.Part
	unused int
}

const depth = 8

// call runs one call with an allowance and returns what is left of it.
func (tr *tree) call(level, allowance int) int {
	own := retry.NewAllowance(allowance)
	if level == depth {
		return own.Left()
	}
	for range rapid.IntRange(0, 2).Draw(tr.t, "children") {
		for attempt := 0; ; attempt++ {
			if attempt > 0 {
				if own.Take(1) == 0 {
					break
				}
				tr.extra++
			}
			if tr.attempt(level, own) {
				break
			}
		}
	}
	return own.Left()
}

// attempt makes one attempt of a child call and reports whether its answer arrived and was good.
func (tr *tree) attempt(level int, own *retry.Allowance) bool {
	tr.attempts++
	part := own.Move(rapid.IntRange(0, own.Left()).Draw(tr.t, "moved"))
	unused := tr.call(level+1, part.Size())
	fate := rapid.SampledFrom([]string{"good", "good", "failed", "repeated", "lost", "late"}).Draw(tr.t, "fate")
	switch fate {
	case "lost":
		return false
	case "late":
		tr.late = append(tr.late, lateAnswer{part, unused})
		return false
	case "repeated":
		part.Return(unused)
		part.Return(unused)
	default:
		part.Return(unused)
	}
	if len(tr.late) > 0 && rapid.Bool().Draw(tr.t, "crossed") {
		i := rapid.IntRange(0, len(tr.late)-1).Draw(tr.t, "which")
		tr.late[i].part.Return(tr.late[i].unused)
	}
	return fate != "failed"
}

func TestExtraAttemptsStayWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := rapid.IntRange(0, 6).Draw(t, "allowance")
		tr := &tree{t: t}
		left := tr.call(1, allowance)
		if tr.extra > allowance || tr.extra+left > allowance {
			t.Fatalf("%d extra attempts and %d left of an allowance of %d", tr.extra, left, allowance)
		}
	})
}

func TestConcurrentTakesNeverExceed(t *testing.T) {
	allowance := retry.NewAllowance(100)
	var wait sync.WaitGroup
	taken := make([]int, 8)
	for i := range taken {
		wait.Go(func() {
			for range 50 {
				part := allowance.Move(1)
				taken[i] += part.Size()
			}
		})
	}
	wait.Wait()
	sum := allowance.Left()
	for _, n := range taken {
		sum += n
	}
	if sum != 100 {
		t.Errorf("%d attempts taken or left, want 100", sum)
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
			bound := share*float64(within(successes, now, 10*time.Second)) + minimum*10
			if got := within(retries, now, 9*time.Second); float64(got) > bound {
				t.Fatalf("%d retries within 9 s, want at most %.1f", got, bound)
			}
		}
	})
}

func within(times []time.Time, now time.Time, window time.Duration) (n int) {
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
		t.Error("a minimum of 0.1 a second must give one retry in 10 s")
	}
	if !budget.Withdraw(start.Add(10 * time.Second)) {
		t.Error("no retry after the window has passed")
	}
}

func TestJitterBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	seen := make(map[time.Duration]bool)
	for attempt := range 20 {
		if wait := retry.Backoff(random, attempt); wait < 5*time.Millisecond || wait > time.Second {
			t.Errorf("attempt %d waits %s", attempt, wait)
		}
		after := retry.After(random, time.Second)
		if after < time.Second || after > 2*time.Second {
			t.Errorf("Retry-After of %s, want between 1 s and 2 s", after)
		}
		seen[after] = true
	}
	if len(seen) < 15 {
		t.Errorf("%d of 20 waits differ, want jitter", len(seen))
	}
}

// TestResendsShareOneAllowance checks that the sendings of one request have its allowance together, at any
// times within the window, and that the record stays bounded.
func TestResendsShareOneAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		resends := retry.NewResends(retry.WithResendBound(3), retry.WithResendWindow(time.Second))
		key := retry.ResendKey{Workspace: "club", Route: "book", IdempotencyKey: "k"}
		now, extra := start, 0
		for sending := range rapid.IntRange(1, 10).Draw(t, "sendings") {
			now = now.Add(time.Duration(rapid.IntRange(0, 99).Draw(t, "ms")) * time.Millisecond)
			extra += resends.Enter(now, key, n).Take(rapid.IntRange(0, 3).Draw(t, "taken"))
			if extra > n {
				t.Fatalf("%d extra attempts of %d after %d sendings", extra, n, sending+1)
			}
		}
		other := key
		other.Workspace = "agency"
		if resends.Enter(now, other, n).Left() != n || resends.Enter(now.Add(2*time.Second), key, n).Left() != n {
			t.Fatal("another request, or one after the window, has an allowance of its own")
		}
	})
}

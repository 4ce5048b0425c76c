package limit_test

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/limit"
)

// TestEachTokenIsSpentOrReturnedOnce spends tokens from several goroutines while grants are accepted, expire and are
// returned.
func TestEachTokenIsSpentOrReturnedOnce(t *testing.T) {
	const spenders, rounds, waiting, tokens, triesPerRound = 4, 300, 40, 50, 40
	h := limit.NewHolder()
	var spent, elapsed, tries atomic.Int64
	var stop atomic.Bool
	var group sync.WaitGroup
	for i := range spenders {
		group.Go(func() {
			for !stop.Load() {
				tries.Add(1)
				if n := int64(i%2 + 1); h.Spend(after(time.Duration(elapsed.Load())), workspace, n) {
					spent.Add(n)
				}
			}
		})
	}
	for range waiting {
		h.Wait(epoch, workspace)
	}
	granted := int64(0)
	returned := make(map[uint64]int64)
	collect := func(returns []limit.Return) {
		for _, r := range returns {
			if _, twice := returned[r.GrantID]; twice {
				t.Errorf("grant %d returned twice", r.GrantID)
			}
			returned[r.GrantID] = r.Tokens
		}
	}
	for range rounds {
		now := after(time.Duration(elapsed.Add(int64(20 * time.Millisecond))))
		for _, request := range h.GrantRequests(now) {
			h.Accept(now, limit.Grant{ID: request.ID, Workspace: workspace, Tokens: tokens, Duration: 30 * time.Millisecond})
			granted += tokens
		}
		for seen := tries.Load(); tries.Load() < seen+triesPerRound; {
			runtime.Gosched()
		}
		collect(h.CollectReturns(now))
	}
	stop.Store(true)
	group.Wait()
	collect(h.ReturnAll())
	returnedTokens := int64(0)
	for _, n := range returned {
		returnedTokens += n
	}
	if granted == 0 || spent.Load()+returnedTokens != granted {
		t.Fatalf("%d spent and %d returned of %d granted", spent.Load(), returnedTokens, granted)
	}
}

package limit_test

import (
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/limit"
)

// stocked returns a holder with an open grant of each workspace that lasts for the whole benchmark.
func stocked(workspaces int) (*limit.Holder, []string) {
	h := limit.NewHolder()
	var names []string
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%03d", i)
		names = append(names, name)
		h.Wait(epoch, name)
	}
	for _, ask := range h.Asks(epoch) {
		h.Accept(epoch, limit.Grant{ID: ask.ID, Workspace: ask.Workspace, Tokens: 1<<20 - 1, Duration: 1000 * time.Hour})
		h.Unwait(ask.Workspace)
	}
	return h, names
}

func BenchmarkSpend(b *testing.B) {
	for _, sharing := range []string{"shared", "own"} {
		b.Run(sharing, func(b *testing.B) {
			h, names := stocked(runtime.GOMAXPROCS(0))
			var next atomic.Int64
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				name := names[0]
				if sharing == "own" {
					name = names[int(next.Add(1))-1]
				}
				for pb.Next() {
					h.Spend(epoch, name, 1)
				}
			})
		})
	}
}

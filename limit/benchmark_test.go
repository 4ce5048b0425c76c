package limit_test

import (
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/limit"
)

// holderWithGrants returns a holder with one grant per workspace that doesn't expire during the benchmark.
func holderWithGrants(workspaces int) (*limit.Holder, []string) {
	h := limit.NewHolder()
	var names []string
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%03d", i)
		names = append(names, name)
		h.Wait(epoch, name)
	}
	for _, request := range h.GrantRequests(epoch) {
		h.Accept(epoch, limit.Grant{ID: request.ID, Workspace: request.Workspace, Tokens: 1<<20 - 1, Duration: 1000 * time.Hour})
		h.Unwait(request.Workspace)
	}
	return h, names
}

func BenchmarkSpend(b *testing.B) {
	for _, workspaces := range []string{"shared", "own"} {
		b.Run(workspaces, func(b *testing.B) {
			h, names := holderWithGrants(runtime.GOMAXPROCS(0))
			var next atomic.Int64
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				name := names[0]
				if workspaces == "own" {
					name = names[int(next.Add(1))-1]
				}
				for pb.Next() {
					h.Spend(epoch, name, 1)
				}
			})
		})
	}
}

// BenchmarkOwner measures answering one grant request and closing one grant.
func BenchmarkOwner(b *testing.B) {
	for _, workspaces := range []int{8, 100, 1000} {
		for _, holders := range []int{20, 200, 940} {
			b.Run(fmt.Sprintf("workspaces=%d/holders=%d", workspaces, holders), func(b *testing.B) {
				o, names := ownerOfWorkspaces(workspaces)
				daemons := daemonNames[:holders]
				id := uint64(0)
				for b.Loop() {
					id++
					now := epoch.Add(time.Duration(id) * 10 * time.Microsecond)
					name, daemon := names[id%uint64(workspaces)], daemons[id/uint64(workspaces)%uint64(holders)]
					g, _ := o.Request(now, daemon, limit.GrantRequest{ID: id, Workspace: name, Tokens: 4, Waiting: 2})
					o.Return(now, daemon, limit.Return{GrantID: g.ID, Workspace: name})
				}
			})
		}
	}
}

func ownerOfWorkspaces(workspaces int) (*limit.Owner, []string) {
	o := limit.NewOwner(epoch.Add(-time.Second))
	var buckets []limit.NamedBucket
	var names []string
	for i := range workspaces {
		names = append(names, fmt.Sprintf("workspace-%04d", i))
		buckets = append(buckets, limit.NamedBucket{Workspace: names[i], Bucket: limit.Bucket{Rate: 1e6, Burst: 1e6}})
	}
	o.SetBuckets(epoch, buckets)
	return o, names
}

// BenchmarkOpenGrants reports the memory that the owner uses per open grant.
func BenchmarkOpenGrants(b *testing.B) {
	for _, open := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint("grants=", open), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				o, names := ownerOfWorkspaces(8)
				for i := range open {
					o.Request(epoch, daemonNames[i%len(daemonNames)], limit.GrantRequest{ID: uint64(i + 1), Workspace: names[i%8], Tokens: 1, Waiting: 1})
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(open), "B/grant")
				runtime.KeepAlive(o)
			}
		})
	}
}

// BenchmarkHolderTick measures the work of a daemon on each tick, by the number of its workspaces.
func BenchmarkHolderTick(b *testing.B) {
	for _, workspaces := range []int{8, 100, 1000} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			h, _ := holderWithGrants(workspaces)
			b.ReportAllocs()
			for b.Loop() {
				h.GrantRequests(epoch)
				h.CollectReturns(epoch)
			}
		})
	}
}

var daemonNames = func() (names []string) {
	for i := range 940 {
		names = append(names, fmt.Sprintf("daemon-%04d", i))
	}
	return names
}()

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

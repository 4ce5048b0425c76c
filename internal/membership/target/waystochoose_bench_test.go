package target_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"sapphirespread.example/internal/backend/load"
	"sapphirespread.example/internal/routing/completion"
)

const subsetServers = 4

// waysToChoose are the ways to choose a server that were weighed. Each sets up a loop.
var waysToChoose = map[string]func(*queueLoop){
	"two-random-by-latency":    func(l *queueLoop) { l.tell = false },
	"two-random-by-completion": func(*queueLoop) {},
	"least-expected-delay":     leastExpectedDelay,
	"join-idle-queue":          joinIdleQueue,
	"rendezvous-subsets": func(l *queueLoop) {
		l.tell = false
		rendezvousSubsets(l)
	},
	"rendezvous-subsets-by-completion": rendezvousSubsets,
}

// leastExpectedDelay sends each call to the server with the least expected time to completion, or a random one without
// reports.
func leastExpectedDelay(l *queueLoop) {
	estimators := make([][]completion.Estimator, len(l.daemons))
	for i := range estimators {
		estimators[i] = make([]completion.Estimator, len(l.servers))
	}
	l.onAnswer = func(daemon, server int, state load.State) { estimators[daemon][server].Observe(l.now+1, state) }
	l.choose = func(daemon int) int {
		best, least := l.random.IntN(len(l.servers)), time.Duration(0)
		for server := range l.servers {
			if expected, known := estimators[daemon][server].Estimate(l.now + 1); known && (least == 0 || expected < least) {
				best, least = server, expected
			}
		}
		estimators[daemon][best].Sent()
		return best
	}
}

// joinIdleQueue lets each server with a free slot tell one random daemon so, which sends its next call there. Without such
// a server it sends to a random one.
func joinIdleQueue(l *queueLoop) {
	idle := make([][]int, len(l.daemons))
	l.onFinish = func(server int) {
		daemon := l.random.IntN(len(idle))
		if l.servers[server].running < loopSlots && len(l.servers[server].queue) == 0 && !slices.Contains(idle[daemon], server) {
			idle[daemon] = append(idle[daemon], server)
		}
	}
	l.choose = func(daemon int) int {
		if len(idle[daemon]) == 0 {
			return l.random.IntN(len(l.servers))
		}
		server := idle[daemon][0]
		idle[daemon] = idle[daemon][1:]
		return server
	}
}

// rendezvousSubsets lets each daemon use only the servers with the highest hashes of both.
func rendezvousSubsets(l *queueLoop) {
	unused := make([][]string, len(l.daemons))
	for daemon := range unused {
		names := make([]string, len(l.servers))
		for i, s := range l.servers {
			names[i] = s.name
		}
		hash := func(name string) uint64 { return xxhash.Sum64String(fmt.Sprint(daemon, name)) }
		slices.SortFunc(names, func(a, b string) int { return cmp.Compare(hash(a), hash(b)) })
		unused[daemon] = names[:len(names)-subsetServers]
	}
	l.exclude = func(daemon int) []string { return unused[daemon] }
}

// BenchmarkWaysToChoose compares ways to choose one of twelve uneven servers on the same loads.
func BenchmarkWaysToChoose(b *testing.B) {
	for _, daemons := range []int{6, 60, 900} {
		for _, use := range []float64{0.5, 0.8, 0.95} {
			for name, setUp := range waysToChoose {
				b.Run(fmt.Sprintf("daemons=%d/use=%.2f/%s", daemons, use, name), func(b *testing.B) {
					for b.Loop() {
						var all queueLoop
						for seed := range uint64(3) {
							l := newQueueLoop(b, seed, daemons, 12, "east")
							setUp(l)
							l.play(loopSpan, use*l.capacity())
							all.took = append(all.took, l.took...)
						}
						mean, p99 := all.latency()
						b.ReportMetric(mean.Seconds()*1000, "mean-ms")
						b.ReportMetric(p99.Seconds()*1000, "p99-ms")
					}
				})
			}
		}
	}
}

package store_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/store"
	"sapphirespread.example/replica"
)

const benchCommandBytes = 200

// benchInstance is a store with a data folder on disk that communicates with its peers over loopback TCP.
type benchInstance struct {
	*store.Store
	pool   *peer.Pool
	server *peer.Server
}

func (inst *benchInstance) stop() {
	_ = inst.Close()
	_ = inst.pool.Close()
	_ = inst.server.Close()
}

// countingMachine counts the applied commands and discards them.
type countingMachine struct{ count int }

func (d *countingMachine) Apply(time.Time, uint64, []byte) []byte {
	d.count++
	return nil
}
func (d *countingMachine) Snapshot() ([]byte, error) { return []byte("s"), nil }
func (d *countingMachine) Restore([]byte) error      { return nil }

func startInstances(b *testing.B, size int, opts ...store.Option) []*benchInstance {
	b.Helper()
	var members []store.Member
	var listeners []net.Listener
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, listener)
		address := netip.MustParseAddrPort(listener.Addr().String())
		members = append(members, store.Member{Name: fmt.Sprintf("control-%d", i), Address: address})
	}
	var instances []*benchInstance
	for i, member := range members {
		settings := store.Settings{Name: member.Name, DataFolder: b.TempDir(), Members: members}
		instances = append(instances, startInstance(b, settings, listeners[i], opts...))
	}
	b.Cleanup(func() {
		for _, inst := range instances {
			inst.stop()
		}
	})
	return instances
}

func startInstance(b *testing.B, settings store.Settings, listener net.Listener, opts ...store.Option) *benchInstance {
	b.Helper()
	self := peer.Identity{Cluster: "bench", Process: settings.Name, Incarnation: 1}
	inst := &benchInstance{pool: peer.NewPool(self), server: peer.NewServer(self)}
	opened, err := store.Open(settings, &countingMachine{}, inst.pool, inst.server, append(opts, store.WithClock(time.Now))...)
	if err != nil {
		b.Fatal(err)
	}
	inst.Store = opened
	go func() { _ = inst.server.Serve(listener) }()
	return inst
}

// awaitLeader waits until an instance accepts a proposal and returns that instance.
func awaitLeader(b *testing.B, instances []*benchInstance) *benchInstance {
	b.Helper()
	for {
		for _, inst := range instances {
			if !inst.HoldsLease(time.Now()) {
				continue
			}
			if _, err := inst.Propose(context.Background(), []byte("ready")); err == nil {
				return inst
			} else if errors.Is(err, store.ErrStopped) {
				b.Fatal(err)
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func quantile(sorted []time.Duration, q float64) float64 {
	index := int(math.Ceil(q*float64(len(sorted)))) - 1
	return float64(sorted[max(index, 0)]) / float64(time.Millisecond)
}

func BenchmarkPropose(b *testing.B) {
	for _, replicas := range []int{1, 3} {
		for _, proposers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("replicas=%d/proposers=%d", replicas, proposers), func(b *testing.B) {
				leader := awaitLeader(b, startInstances(b, replicas))
				benchmarkProposers(b, leader, proposers)
			})
		}
	}
}

func benchmarkProposers(b *testing.B, leader *benchInstance, proposers int) {
	logBefore := leader.Status().LogBytes
	b.ResetTimer()
	latencies := proposeConcurrently(b, leader.Store, proposers, b.N)
	b.StopTimer()
	b.ReportMetric(float64(leader.Status().LogBytes-logBefore)/float64(b.N), "log-bytes/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
	b.ReportMetric(quantile(latencies, 0.5), "p50-ms")
	b.ReportMetric(quantile(latencies, 0.99), "p99-ms")
}

// proposeConcurrently sends count proposals from several goroutines and returns the sorted latencies.
func proposeConcurrently(b *testing.B, leader *store.Store, proposers, count int) []time.Duration {
	b.Helper()
	command := make([]byte, benchCommandBytes)
	latencies := make([]time.Duration, count)
	var next atomic.Int64
	var running sync.WaitGroup
	for range proposers {
		running.Go(func() {
			for i := next.Add(1); i <= int64(count); i = next.Add(1) {
				began := time.Now()
				if _, err := leader.Propose(context.Background(), command); err != nil {
					b.Error(err)
				}
				latencies[i-1] = time.Since(began)
			}
		})
	}
	running.Wait()
	slices.Sort(latencies)
	return latencies
}

func BenchmarkRecovery(b *testing.B) {
	for _, entries := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			address := netip.MustParseAddrPort("127.0.0.1:9")
			settings := store.Settings{
				Name: "a", DataFolder: b.TempDir(), Members: []store.Member{{Name: "a", Address: address}},
			}
			open := func() *store.Store {
				opened, err := store.OpenWithTransport(settings, &countingMachine{}, testTransport{newNetwork(), address}, store.WithSnapshotBytes(math.MaxInt64/4))
				if err != nil {
					b.Fatal(err)
				}
				return opened
			}
			filled := open()
			awaitLeader(b, []*benchInstance{{Store: filled}})
			proposeConcurrently(b, filled, 1024, entries)
			_ = filled.Close()
			b.ResetTimer()
			for b.Loop() {
				opened := open()
				b.StopTimer()
				_ = opened.Close()
				b.StartTimer()
			}
		})
	}
}

// BenchmarkFailover measures the time from the loss of the leader until another instance accepts proposals.
func BenchmarkFailover(b *testing.B) {
	for _, planned := range []bool{false, true} {
		b.Run(fmt.Sprintf("planned=%t", planned), func(b *testing.B) {
			var durations []time.Duration
			for range b.N {
				instances := startInstances(b, 3)
				leader := awaitLeader(b, instances)
				for allVoting := false; !allVoting; time.Sleep(time.Millisecond) {
					allVoting = !slices.ContainsFunc(leader.Status().Members, func(m replica.MemberStatus) bool {
						return m.Role != replica.Voter
					})
				}
				others := slices.DeleteFunc(slices.Clone(instances), func(inst *benchInstance) bool { return inst == leader })
				began := time.Now()
				if planned {
					if err := leader.Transfer(context.Background()); err != nil {
						b.Fatal(err)
					}
				}
				leader.stop()
				awaitLeader(b, others)
				durations = append(durations, time.Since(began))
			}
			slices.Sort(durations)
			b.ReportMetric(quantile(durations, 0.5), "p50-ms")
			b.ReportMetric(quantile(durations, 1), "max-ms")
		})
	}
}

// BenchmarkIdle measures the CPU time per store of three stores that only exchange heartbeats.
func BenchmarkIdle(b *testing.B) {
	const settled, measured = 2 * time.Second, 10 * time.Second
	awaitLeader(b, startInstances(b, 3))
	for range b.N {
		time.Sleep(settled)
		before := processorTime(b)
		time.Sleep(measured)
		b.ReportMetric(float64((processorTime(b)-before).Milliseconds())/measured.Seconds()/3, "cpu-ms/s/store")
	}
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

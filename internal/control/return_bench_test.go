package control_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"sapphirespread.example/internal/peer"
)

const returnRounds = 5

// BenchmarkRelay attaches fake daemons to a follower and reports the cost of relaying per daemon and second: processor
// time and bytes read and written.
func BenchmarkRelay(b *testing.B) {
	for _, daemons := range []int{30, 118, 236} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for b.Loop() {
				measureRelay(b, daemons)
			}
		})
	}
}

func measureRelay(b *testing.B, daemons int) {
	c := startCluster(b)
	if err := c.publishSet(benchSet()); err != nil {
		b.Fatal(err)
	}
	c.awaitCaughtUp()
	_, others := c.leaderAndFollowers()
	pid := others[0].command.Process.Pid
	idleTime, idleBytes := usageOf(b, pid)
	_, stop := startFakeDaemons(b, others[0].daemonRelay.target, daemons)
	time.Sleep(measurePeriod)
	busyTime, busyBytes := usageOf(b, pid)
	seconds := measurePeriod.Seconds() * float64(daemons)
	b.ReportMetric(float64((busyTime-idleTime).Microseconds())/seconds, "cpu-us/daemon/s")
	b.ReportMetric(float64(busyBytes-idleBytes)/seconds, "bytes/daemon/s")
	stop()
	c.stop()
}

// usageOf returns the processor time and the bytes read and written by a process during the next measurePeriod.
func usageOf(b *testing.B, pid int) (time.Duration, int64) {
	b.Helper()
	cpu, bytes := cpuOf(b, pid), bytesOf(b, pid)
	time.Sleep(measurePeriod)
	return cpuOf(b, pid) - cpu, bytesOf(b, pid) - bytes
}

// BenchmarkReturn makes expired daemons attach again simultaneously and without any state, to the leader and through
// followers. It reports the time until the revision is confirmed to all daemons and until all targets are listed again.
func BenchmarkReturn(b *testing.B) {
	for _, daemons := range []int{30, 60, 118, 236} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for b.Loop() {
				measureReturn(b, daemons)
			}
		})
	}
}

func measureReturn(b *testing.B, daemons int) {
	c := startCluster(b)
	if err := c.publishSet(benchSet()); err != nil {
		b.Fatal(err)
	}
	c.awaitCaughtUp()
	confirmed, members, received := newHistogram(), newHistogram(), int64(0)
	for round := range returnRounds {
		returning, stop := prepareReturningDaemons(b, c, daemons, uint64(round+1))
		began := time.Now()
		returning.start()
		_ = confirmed.RecordValue(returning.awaitConfirmed(c.revision).Sub(began).Microseconds())
		c.awaitTargets(daemons)
		_ = members.RecordValue(time.Since(began).Microseconds())
		received += totalBytes(returning.daemons)
		stop()
		c.awaitTargets(0)
	}
	report(b, confirmed, "confirmed")
	report(b, members, "members")
	b.ReportMetric(float64(received)/returnRounds/float64(daemons), "bytes/daemon")
	c.stop()
}

// returningDaemons are fake daemons that attach when started is closed.
type returningDaemons struct {
	daemons []*fakeDaemon
	started chan struct{}
}

func (r *returningDaemons) start() { close(r.started) }

// awaitConfirmed waits until the revision is confirmed to all daemons and returns the time.
func (r *returningDaemons) awaitConfirmed(revision uint64) time.Time {
	for _, d := range r.daemons {
		for d.confirmed.Load() < revision {
			time.Sleep(100 * time.Microsecond)
		}
	}
	return time.Now()
}

func (c *cluster) awaitTargets(count int) {
	c.t.Helper()
	deadline := time.Now().Add(processBound)
	for listed := -1; listed != count; time.Sleep(time.Millisecond) {
		targets, err := c.client.Targets(context.Background())
		if err == nil {
			listed = len(targets)
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("%d targets listed, want %d: %v", listed, count, err)
		}
	}
}

func prepareReturningDaemons(b *testing.B, c *cluster, count int, incarnation uint64) (*returningDaemons, func()) {
	ctx, cancel := context.WithCancel(b.Context())
	r := &returningDaemons{started: make(chan struct{})}
	var running sync.WaitGroup
	var pools []*peer.Pool
	for i := range count {
		pool := peer.NewPool(peer.Identity{Cluster: "test", Process: fmt.Sprintf("daemon-%d", i), Incarnation: incarnation})
		d := &fakeDaemon{number: i, incarnation: incarnation}
		r.daemons, pools = append(r.daemons, d), append(pools, pool)
		running.Go(func() {
			<-r.started
			d.attachWithRetry(ctx, pool, c.instances[i%len(c.instances)].daemonRelay.target)
			running.Go(d.receiveLoop)
			d.sendHeartbeats(ctx)
		})
	}
	return r, func() {
		cancel()
		for _, pool := range pools {
			_ = pool.Close()
		}
		running.Wait()
	}
}

// attachWithRetry attaches to the address, retrying until it succeeds or ctx ends.
func (d *fakeDaemon) attachWithRetry(ctx context.Context, pool *peer.Pool, address netip.AddrPort) {
	for d.attach(ctx, pool, address) != nil && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

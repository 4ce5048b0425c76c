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

// BenchmarkRelay attaches small fakes of daemons to a follower and reports what relaying a daemon costs it a second:
// processor time, and bytes read and written.
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
	p := startThree(b)
	if err := p.publishSet(slopeSet()); err != nil {
		b.Fatal(err)
	}
	p.waitForAll()
	_, others := p.split()
	pid := others[0].command.Process.Pid
	idleTime, idleBytes := spent(b, pid)
	_, stop := startFakes(b, others[0].door.target, daemons)
	time.Sleep(slopeIdle)
	busyTime, busyBytes := spent(b, pid)
	seconds := slopeIdle.Seconds() * float64(daemons)
	b.ReportMetric(float64((busyTime-idleTime).Microseconds())/seconds, "cpu-us/daemon/s")
	b.ReportMetric(float64(busyBytes-idleBytes)/seconds, "bytes/daemon/s")
	stop()
	p.stop()
}

// spent returns the processor time and the bytes read and written by a process within the next seconds.
func spent(b *testing.B, pid int) (time.Duration, int64) {
	b.Helper()
	processor, bytes := cpuOf(b, pid), bytesOf(b, pid)
	time.Sleep(slopeIdle)
	return cpuOf(b, pid) - processor, bytesOf(b, pid) - bytes
}

// BenchmarkReturn lets daemons that had expired attach again at the same instant, with nothing, to the leader and by
// relays, and reports the time until all have the revision confirmed and until all are members again.
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
	p := startThree(b)
	if err := p.publishSet(slopeSet()); err != nil {
		b.Fatal(err)
	}
	p.waitForAll()
	confirmed, members, received := newHistogram(), newHistogram(), int64(0)
	for round := range returnRounds {
		fakes, stop := returnFakes(b, p, daemons, uint64(round+1))
		began := time.Now()
		fakes.begin()
		_ = confirmed.RecordValue(fakes.awaitConfirmed(p.revision).Sub(began).Microseconds())
		p.awaitTargets(daemons)
		_ = members.RecordValue(time.Since(began).Microseconds())
		received += passed(fakes.all)
		stop()
		p.awaitTargets(0)
	}
	report(b, confirmed, "confirmed")
	report(b, members, "members")
	b.ReportMetric(float64(received)/returnRounds/float64(daemons), "bytes/daemon")
	p.stop()
}

// returning are fakes of daemons that wait for the instant of their return.
type returning struct {
	all   []*fakeDaemon
	start chan struct{}
}

func (r *returning) begin() { close(r.start) }

// awaitConfirmed waits until a revision is confirmed to all, and returns when it was.
func (r *returning) awaitConfirmed(revision uint64) time.Time {
	for _, d := range r.all {
		for d.confirmed.Load() < revision {
			time.Sleep(100 * time.Microsecond)
		}
	}
	return time.Now()
}

func (p *processes) awaitTargets(count int) {
	p.t.Helper()
	deadline := time.Now().Add(processBound)
	for listed := -1; listed != count; time.Sleep(time.Millisecond) {
		targets, err := p.client.Targets(context.Background())
		if err == nil {
			listed = len(targets)
		}
		if time.Now().After(deadline) {
			p.t.Fatalf("%d targets, awaited %d: %v", listed, count, err)
		}
	}
}

func returnFakes(b *testing.B, p *processes, count int, incarnation uint64) (*returning, func()) {
	ctx, cancel := context.WithCancel(b.Context())
	r := &returning{start: make(chan struct{})}
	var running sync.WaitGroup
	var pools []*peer.Pool
	for i := range count {
		pool := peer.NewPool(peer.Identity{Cluster: "test", Process: fmt.Sprintf("daemon-%d", i), Incarnation: incarnation})
		d := &fakeDaemon{number: i, incarnation: incarnation}
		r.all, pools = append(r.all, d), append(pools, pool)
		running.Go(func() {
			<-r.start
			d.attachUntil(ctx, pool, p.all[i%len(p.all)].door.target)
			running.Go(d.receive)
			d.beat(ctx)
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

// attachUntil attaches again until it succeeds.
func (d *fakeDaemon) attachUntil(ctx context.Context, pool *peer.Pool, address netip.AddrPort) {
	for d.attach(ctx, pool, address) != nil && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

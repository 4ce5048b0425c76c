package control_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/operator"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/key"
)

const (
	slopeHeartbeat = 500 * time.Millisecond
	slopeIdle      = 5 * time.Second
	slopeChanges   = 20
	slopeServices  = 97
	slopeCalled    = 8
)

// A fakeDaemon speaks a daemon's side of a session and counts what passes.
type fakeDaemon struct {
	number      int
	incarnation uint64
	stream      *peer.Stream
	revision    atomic.Uint64
	confirmed   atomic.Uint64
	received    atomic.Int64
	sent        atomic.Int64
}

func (d *fakeDaemon) send(message *peerpb.DaemonMessage) error {
	d.sent.Add(int64(proto.Size(message)))
	return d.stream.Send(message)
}

func (d *fakeDaemon) attach(ctx context.Context, pool *peer.Pool, address netip.AddrPort) error {
	stream, err := pool.Open(ctx, address, "control")
	if err != nil {
		return err
	}
	d.stream = stream
	attach := &peerpb.Attach{Daemon: fmt.Sprintf("daemon-%d", d.number), Incarnation: d.incarnation, FailureDomain: "domain-1"}
	return d.send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Attach{Attach: attach}})
}

func (d *fakeDaemon) beat(ctx context.Context) {
	ticker := time.NewTicker(slopeHeartbeat)
	defer ticker.Stop()
	var called []string
	for i := range slopeCalled {
		called = append(called, fmt.Sprintf("service-%d", (d.number+i)%slopeServices))
	}
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		heartbeat := &peerpb.Heartbeat{Sequence: sequence, Revision: d.revision.Load(), CalledServices: called}
		announce := &peerpb.Announce{
			Target: fmt.Sprintf("target-%d", d.number), Service: called[0], FailureDomain: "domain-1",
			PeerAddress: fmt.Sprintf("127.0.0.1:%d", 10000+d.number), Incarnation: d.incarnation, Slots: 80, State: "ready", Daemon: fmt.Sprintf("daemon-%d", d.number),
		}
		if sequence%2 == 1 {
			message := &peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Announce{Announce: announce}}
			d.sent.Add(int64(proto.Size(message)))
			_ = d.stream.Buffer(message)
		}
		if d.send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Heartbeat{Heartbeat: heartbeat}}) != nil {
			return
		}
		<-ticker.C
	}
}

func (d *fakeDaemon) receive() {
	for {
		message := &peerpb.ControlMessage{}
		if d.stream.Receive(message) != nil {
			return
		}
		d.received.Add(int64(proto.Size(message)))
		if delta := message.GetConfiguration(); delta != nil {
			d.revision.Store(delta.GetTo())
		}
		if confirm := message.GetConfirm(); confirm != nil && confirm.GetRevision() <= d.revision.Load() {
			d.confirmed.Store(confirm.GetRevision())
		}
	}
}

// BenchmarkControlPerDaemon runs one control instance as a process with small fakes of daemons, and reports what
// they cost it: processor time a daemon and second, bytes a daemon and second, and the time from a publish until
// all daemons have it.
func BenchmarkControlPerDaemon(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "sapphirespread")
	if out, err := exec.Command("go", "build", "-o", binary, "sapphirespread.example").CombinedOutput(); err != nil {
		b.Fatalf("building: %v\n%s", err, out)
	}
	for _, daemons := range []int{10, 50, 200, 940} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for b.Loop() {
				measureSlope(b, binary, daemons)
			}
		})
	}
}

func measureSlope(b *testing.B, binary string, count int) {
	peers, operators := benchAddress(b), benchAddress(b)
	path := filepath.Join(b.TempDir(), "control.toml")
	text := fmt.Sprintf("name = \"c\"\ncluster = \"test\"\nfailure-domain = \"east\"\npeer-listen = %q\noperators-listen = %q\ndata-folder = %q\n[[members]]\nname = \"c\"\naddress = %q\n",
		peers, operators, filepath.Join(b.TempDir(), "data"), peers)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	command := exec.Command(binary, "control", path)
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = command.Process.Kill() }()
	client := operator.NewClient([]netip.AddrPort{operators})
	set := slopeSet()
	for published := false; !published; time.Sleep(20 * time.Millisecond) {
		_, err := client.Publish(b.Context(), configuration.PublishRequest{ID: "first", Set: set})
		published = err == nil
	}
	fakes, stop := startFakes(b, peers, count)
	time.Sleep(slopeIdle)
	bytes, before := passed(fakes), cpuOf(b, command.Process.Pid)
	time.Sleep(slopeIdle)
	bytes = passed(fakes) - bytes
	spent := cpuOf(b, command.Process.Pid) - before
	histogram := publishAll(b, client, set, fakes)
	b.ReportMetric(float64(spent.Microseconds())/float64(count)/slopeIdle.Seconds(), "cpu-us/daemon/s")
	b.ReportMetric(float64(bytes)/float64(count)/slopeIdle.Seconds(), "bytes/daemon/s")
	b.ReportMetric(float64(histogram.ValueAtPercentile(50))/1e3, "all-p50-ms")
	b.ReportMetric(float64(histogram.Max())/1e3, "all-max-ms")
	b.ReportMetric(float64(residentOf(b, command.Process.Pid))/1024, "resident-MiB")
	stop()
	_ = command.Process.Signal(syscall.SIGTERM)
	_ = command.Wait()
}

// passed returns the bytes of all messages so far.
func passed(fakes []*fakeDaemon) (bytes int64) {
	for _, d := range fakes {
		bytes += d.received.Load() + d.sent.Load()
	}
	return bytes
}

func slopeSet() configuration.Set {
	set := configuration.Set{
		Limits:     []configuration.Limit{{Name: "ample", Rate: 1000, Burst: 1000}},
		Priorities: []configuration.Priority{{Name: "high"}},
	}
	for i := range slopeServices {
		name := fmt.Sprintf("service-%d", i)
		set.Services = append(set.Services, configuration.Service{Name: name, RetryBudget: 0.1, MinimumRetriesPerSecond: 1})
		set.Routes = append(set.Routes, configuration.Route{
			Name: name, Path: "/" + name + "/*", Service: name, Priority: "high", Deadline: time.Second, Repeatable: true,
		})
	}
	for i := range 100 {
		name := fmt.Sprintf("workspace-%d", i)
		set.Workspaces = append(set.Workspaces, configuration.Workspace{Name: name, Limit: "ample", Share: 1})
		set.Keys = append(set.Keys, configuration.Key{Name: name + "-key", Workspace: name, Hash: key.Hash("secret-of-" + name)})
	}
	return set
}

func startFakes(b *testing.B, address netip.AddrPort, count int) ([]*fakeDaemon, func()) {
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	var fakes []*fakeDaemon
	var pools []*peer.Pool
	for i := range count {
		pool := peer.NewPool(peer.Identity{Cluster: "test", Process: fmt.Sprintf("daemon-%d", i), Incarnation: 1})
		d := &fakeDaemon{number: i, incarnation: 1}
		if err := d.attach(ctx, pool, address); err != nil {
			b.Fatal(err)
		}
		running.Go(d.receive)
		running.Go(func() { d.beat(ctx) })
		fakes, pools = append(fakes, d), append(pools, pool)
	}
	return fakes, func() {
		cancel()
		for _, pool := range pools {
			_ = pool.Close()
		}
		running.Wait()
	}
}

// publishAll publishes one change after another and returns the times until all daemons had each, in microseconds.
func publishAll(b *testing.B, client *operator.Client, set configuration.Set, fakes []*fakeDaemon) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i := range slopeChanges {
		set.Limits[0].Burst = int64(2000 + i)
		started := time.Now()
		published, err := client.Publish(b.Context(), configuration.PublishRequest{ID: fmt.Sprintf("change-%d", i), Base: uint64(i + 1), Set: set})
		if err != nil || published.Kind != configuration.Accepted {
			b.Fatalf("publish: %+v, %v", published, err)
		}
		for _, d := range fakes {
			for d.revision.Load() < published.Revision {
				time.Sleep(100 * time.Microsecond)
			}
		}
		_ = histogram.RecordValue(time.Since(started).Microseconds())
	}
	return histogram
}

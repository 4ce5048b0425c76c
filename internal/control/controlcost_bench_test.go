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
	fakeHeartbeatPeriod = 500 * time.Millisecond
	measurePeriod       = 5 * time.Second
	publishedChanges    = 20
	serviceCount        = 97
	calledServiceCount  = 8
)

// A fakeDaemon implements the daemon side of a session and counts the bytes of its messages.
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

// sendHeartbeats sends a heartbeat every fakeHeartbeatPeriod, and an announcement with every other one, until ctx ends.
func (d *fakeDaemon) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(fakeHeartbeatPeriod)
	defer ticker.Stop()
	var called []string
	for i := range calledServiceCount {
		called = append(called, fmt.Sprintf("service-%d", (d.number+i)%serviceCount))
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

// receiveLoop tracks the received and confirmed revisions until the session ends.
func (d *fakeDaemon) receiveLoop() {
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

// BenchmarkControlPerDaemon runs one control process with fake daemons attached. It reports processor time and bytes
// per daemon and second, the resident memory, and the time from a publish until all daemons have received it.
func BenchmarkControlPerDaemon(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "sapphirespread")
	if out, err := exec.Command("go", "build", "-o", binary, "sapphirespread.example").CombinedOutput(); err != nil {
		b.Fatalf("building: %v\n%s", err, out)
	}
	for _, daemons := range []int{10, 50, 200, 940} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for b.Loop() {
				measureControlPerDaemon(b, binary, daemons)
			}
		})
	}
}

func measureControlPerDaemon(b *testing.B, binary string, count int) {
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
	set := benchSet()
	for published := false; !published; time.Sleep(20 * time.Millisecond) {
		_, err := client.Publish(b.Context(), configuration.PublishRequest{ID: "first", Set: set})
		published = err == nil
	}
	fakes, stop := startFakeDaemons(b, peers, count)
	time.Sleep(measurePeriod)
	bytes, before := totalBytes(fakes), cpuOf(b, command.Process.Pid)
	time.Sleep(measurePeriod)
	bytes = totalBytes(fakes) - bytes
	spent := cpuOf(b, command.Process.Pid) - before
	histogram := publishChanges(b, client, set, fakes)
	b.ReportMetric(float64(spent.Microseconds())/float64(count)/measurePeriod.Seconds(), "cpu-us/daemon/s")
	b.ReportMetric(float64(bytes)/float64(count)/measurePeriod.Seconds(), "bytes/daemon/s")
	b.ReportMetric(float64(histogram.ValueAtPercentile(50))/1e3, "all-p50-ms")
	b.ReportMetric(float64(histogram.Max())/1e3, "all-max-ms")
	b.ReportMetric(float64(residentOf(b, command.Process.Pid))/1024, "resident-MiB")
	stop()
	_ = command.Process.Signal(syscall.SIGTERM)
	_ = command.Wait()
}

// totalBytes returns the size of all messages sent and received so far.
func totalBytes(fakes []*fakeDaemon) (bytes int64) {
	for _, d := range fakes {
		bytes += d.received.Load() + d.sent.Load()
	}
	return bytes
}

func benchSet() configuration.Set {
	set := configuration.Set{
		Limits:     []configuration.Limit{{Name: "ample", Rate: 1000, Burst: 1000}},
		Priorities: []configuration.Priority{{Name: "high"}},
	}
	for i := range serviceCount {
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

// startFakeDaemons attaches fake daemons to a control instance and returns them with a function that stops them.
func startFakeDaemons(b *testing.B, address netip.AddrPort, count int) ([]*fakeDaemon, func()) {
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
		running.Go(d.receiveLoop)
		running.Go(func() { d.sendHeartbeats(ctx) })
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

// publishChanges publishes changes in sequence and returns a histogram of the microseconds until all daemons had each.
func publishChanges(b *testing.B, client *operator.Client, set configuration.Set, fakes []*fakeDaemon) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i := range publishedChanges {
		set.Limits[0].Burst = int64(2000 + i)
		started := time.Now()
		result, err := client.Publish(b.Context(), configuration.PublishRequest{ID: fmt.Sprintf("change-%d", i), Base: uint64(i + 1), Set: set})
		if err != nil || result.Kind != configuration.Accepted {
			b.Fatalf("publish: %+v, %v", result, err)
		}
		for _, d := range fakes {
			for d.revision.Load() < result.Revision {
				time.Sleep(100 * time.Microsecond)
			}
		}
		_ = histogram.RecordValue(time.Since(started).Microseconds())
	}
	return histogram
}

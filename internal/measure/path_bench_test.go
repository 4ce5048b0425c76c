package measure_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/load"
	"sapphirespread.example/internal/measure"
)

// BenchmarkPath measures a call to a backend server with no work time: direct, through its own daemon, and through
// another daemon that forwards it.
func BenchmarkPath(b *testing.B) {
	single := func(name string) deployment.Service {
		return deployment.Service{Name: name, Slots: []int{1000}, Connections: []int{5000}}
	}
	route := func(name string) deployment.Route {
		return deployment.Route{
			Name: name, Method: http.MethodGet, Path: "/" + name, Service: name, Priority: deployment.Priority{Name: "normal"},
			Deadline: 5 * time.Second, Repeatable: true, Weight: 1,
		}
	}
	workspace := load.Workspace{Name: "caller", Key: "secret-of-the-caller-0123456789", Limit: load.Limit{Rate: 1e6, Burst: 1e6}}
	cluster, err := measure.StartCluster(b.Context(), measure.Setup{
		Deployment: deployment.Deployment{
			Name: "path", FailureDomains: []string{"one"},
			Services: []deployment.Service{single("near"), single("far")},
			Routes:   []deployment.Route{route("near"), route("far")},
		},
		Workspaces: []load.Workspace{workspace}, Instances: 1,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		if err := cluster.Stop(); err != nil {
			b.Error(err)
		}
	})
	near := cluster.Entries("")[0]
	for _, path := range []struct {
		name, uri string
		address   netip.AddrPort
	}{
		{"direct", "/near", cluster.Fleet().Targets()[0].Server.Address()},
		{"one-daemon", "/near", near},
		{"two-daemons", "/far", near},
	} {
		for _, callers := range []int{1, 16} {
			b.Run(fmt.Sprintf("%s/callers=%d", path.name, callers), func(b *testing.B) {
				benchmarkCalls(b, "http://"+path.address.String()+path.uri, workspace.Key, callers)
			})
		}
	}
}

// benchmarkCalls reports the latency percentiles and the CPU time of concurrent calls to url.
func benchmarkCalls(b *testing.B, url, secret string, callers int) {
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	histograms := make([]*hdrhistogram.Histogram, callers)
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime()
	var group sync.WaitGroup
	for i := range callers {
		histograms[i] = hdrhistogram.New(1, int64(time.Minute), 3)
		group.Go(func() {
			for range (b.N + callers - 1) / callers {
				sent := time.Now()
				if err := call(transport, url, secret); err != nil {
					b.Error(err)
					return
				}
				_ = histograms[i].RecordValue(int64(time.Since(sent)))
			}
		})
	}
	group.Wait()
	elapsedCPU := cpuTime() - before
	b.StopTimer()
	for _, other := range histograms[1:] {
		histograms[0].Merge(other)
	}
	for _, percent := range []float64{50, 90, 99} {
		b.ReportMetric(float64(histograms[0].ValueAtPercentile(percent))/1e3, fmt.Sprintf("p%.0f-µs", percent))
	}
	b.ReportMetric(float64(histograms[0].Max())/1e3, "max-µs")
	b.ReportMetric(float64(elapsedCPU.Microseconds())/float64(b.N), "cpu-µs/op")
}

func call(transport *http.Transport, url, secret string) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s %s", response.Status, response.Header.Get("Sapphirespread-Refusal"))
	}
	return nil
}

// cpuTime returns the user and system CPU time of this process so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

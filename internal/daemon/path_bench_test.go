package daemon_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sapphirespread.example/internal/daemon"
)

// BenchmarkPath measures the latency of a call sent directly, through the target's daemon, and through two daemons.
func BenchmarkPath(b *testing.B) {
	f := newFleet(b)
	f.publish(baseSet())
	f.backend("courts-1", "courts", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	entry, _, _ := f.daemon("entry")
	direct := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	listener := listen(b)
	go func() { _ = direct.Serve(listener) }()
	b.Cleanup(func() { _ = direct.Close() })
	served := f.served
	f.eventually("an answer", func() bool {
		return ask(entry, http.MethodGet, "/courts/1", "club", "").status == http.StatusOK &&
			ask(served, http.MethodGet, "/courts/1", "club", "").status == http.StatusOK
	})
	urls := []struct{ name, url string }{
		{"direct", "http://" + listener.Addr().String() + "/courts/1"},
		{"one-daemon", callersURL(served)},
		{"two-daemons", callersURL(entry)},
	}
	for _, u := range urls {
		b.Run(u.name, func(b *testing.B) { benchmarkURL(b, u.url) })
	}
}

func callersURL(d *daemon.Daemon) string {
	return "http://" + d.CallersAddress().String() + "/courts/1"
}

func benchmarkURL(b *testing.B, url string) {
	histogram := hdrhistogram.New(1, int64(time.Minute), 3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	b.ReportAllocs()
	for b.Loop() {
		request, _ := http.NewRequest(http.MethodGet, url, nil)
		request.Header.Set("Authorization", "Bearer "+secretOf("club"))
		start := time.Now()
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		_ = histogram.RecordValue(time.Since(start).Nanoseconds())
		if response.StatusCode != http.StatusOK {
			b.Fatal(response.Status)
		}
	}
	for _, percentile := range []float64{50, 90, 99} {
		micros := float64(histogram.ValueAtPercentile(percentile)) / 1e3
		b.ReportMetric(micros, map[float64]string{50: "p50-us", 90: "p90-us", 99: "p99-us"}[percentile])
	}
}

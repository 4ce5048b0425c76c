package daemon

import (
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sapphirespread.example/priority"
)

const (
	// maxLatency equals the longest deadline that a route may have.
	maxLatency = 10 * time.Minute
	// latencyDigits is the number of significant digits. With 1, a histogram takes a few kilobytes.
	latencyDigits = 1
	// maxLatencySeries limits the number of histograms, however many services and priorities are configured.
	maxLatencySeries = 512
)

// Outcomes of requests in the metrics.
const (
	outcomeAnswered = "answered"
	outcomeErrored  = "errored" // answered with a server error, or cut short
	outcomeRefused  = "refused" // certain not to have run
	outcomeFailed   = "failed"  // may have run
)

// A latencySeries identifies one histogram.
type latencySeries struct {
	service  string
	priority int
	outcome  string
}

// latencies holds histograms of the time from the arrival of a request to its answer.
type latencies struct {
	mu       sync.Mutex
	bySeries map[latencySeries]*hdrhistogram.Histogram
	dropped  int64
}

func newLatencies() *latencies {
	return &latencies{bySeries: make(map[latencySeries]*hdrhistogram.Histogram)}
}

// record adds a request that ends now. It drops the value if there are too many series.
func (l *latencies) record(c *call, outcome string) {
	duration := min(time.Since(c.history.arrivedAt), maxLatency)
	series := latencySeries{c.service, priority.WorkspaceLevel(c.priority), outcome}
	l.mu.Lock()
	defer l.mu.Unlock()
	histogram := l.bySeries[series]
	if histogram == nil {
		if len(l.bySeries) >= maxLatencySeries {
			l.dropped++
			return
		}
		histogram = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
		l.bySeries[series] = histogram
	}
	if histogram.RecordValue(max(duration.Microseconds(), 1)) != nil {
		l.dropped++
	}
}

// A latencySummary summarizes one histogram in the metrics, in milliseconds.
type latencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P90   float64 `json:"p90-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

// summaries returns a summary of each histogram by "service/priority/outcome".
func (l *latencies) summaries() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	summaries := make(map[string]latencySummary, len(l.bySeries))
	for series, histogram := range l.bySeries {
		percentileMs := func(percentile float64) float64 { return float64(histogram.ValueAtPercentile(percentile)) / 1e3 }
		summaries[fmt.Sprintf("%s/%d/%s", series.service, series.priority, series.outcome)] = latencySummary{
			Count: histogram.TotalCount(), P50: percentileMs(50), P90: percentileMs(90), P99: percentileMs(99), Max: float64(histogram.Max()) / 1e3,
		}
	}
	return summaries
}

// publish adds the summaries to vars.
func (l *latencies) publish(vars *expvar.Map) {
	vars.Set("latencies", expvar.Func(l.summaries))
}

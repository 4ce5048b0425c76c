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
	// maxLatency is the longest deadline that a route may have.
	maxLatency = 10 * time.Minute
	// latencyDigits keeps a histogram within a few kilobytes.
	latencyDigits = 1
	// maxLatencySeries bounds the labels, whatever the configuration names.
	maxLatencySeries = 512
)

// Outcomes of requests, as the metrics show them.
const (
	outcomeAnswered = "answered"
	outcomeErrored  = "errored" // answered, with a failure of the backend server
	outcomeRefused  = "refused" // certain not to have run
	outcomeFailed   = "failed"  // may have run
)

// A latencySeries is what one histogram is about.
type latencySeries struct {
	service  string
	priority int
	outcome  string
}

// latencies are histograms of the time from a request's arrival to its answer.
type latencies struct {
	mu       sync.Mutex
	bySeries map[latencySeries]*hdrhistogram.Histogram
	dropped  int64
}

func newLatencies() *latencies {
	return &latencies{bySeries: make(map[latencySeries]*hdrhistogram.Histogram)}
}

// record adds one request that has ended.
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

// A latencyReading is what the metrics show of one histogram, in milliseconds.
type latencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P90   float64 `json:"p90-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

// reading returns all histograms by service, priority and outcome.
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

// publish shows the histograms beside the counters.
func (l *latencies) publish(vars *expvar.Map) {
	vars.Set("latencies", expvar.Func(l.summaries))
}

package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sapphirespread.example/refusal"
)

// Interval is the time resolution of a Report.
const Interval = 100 * time.Millisecond

const (
	minLatencyMicros         = int64(time.Microsecond / time.Microsecond)
	maxLatencyMicros         = int64(time.Minute / time.Microsecond)
	latencySignificantDigits = 3
)

// Recorder collects the outcomes of a run, in one shard per workspace.
type Recorder struct {
	plan   Plan
	start  time.Time
	steady func(at time.Duration) bool
	shards []*recorderShard
}

type recorderShard struct {
	mu        sync.Mutex
	bucket    *Bucket
	intervals []IntervalCounts
	// tallies holds one Tally for each interval in which requests arrived.
	tallies  []Tally
	refusals map[refusal.Kind]int64
	verdicts map[Verdict]int64
	routes   []RouteTally
	latency  *hdrhistogram.Histogram
}

// RouteTally counts the requests of one route and the good answers to them.
type RouteTally struct {
	Route    string `json:"route"`
	Priority int    `json:"priority"`
	Offered  int64  `json:"offered"`
	Good     int64  `json:"good"`
}

// NewRecorder returns a Recorder for a run of plan that begins at start; steady reports whether requests sent at a
// given time of the run should not be refused.
func NewRecorder(plan Plan, start time.Time, steady func(at time.Duration) bool) *Recorder {
	r := &Recorder{plan: plan, start: start, steady: steady}
	intervals := int(plan.Duration/Interval) + 1
	for _, workspace := range plan.Workspaces {
		shard := &recorderShard{
			bucket:    NewBucket(start, workspace.Limit),
			intervals: make([]IntervalCounts, intervals),
			tallies:   make([]Tally, intervals),
			refusals:  make(map[refusal.Kind]int64),
			verdicts:  make(map[Verdict]int64),
			routes:    make([]RouteTally, len(plan.Routes)),
			latency:   hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits),
		}
		for i, route := range plan.Routes {
			shard.routes[i] = RouteTally{Route: route.Name, Priority: route.Priority}
		}
		r.shards = append(r.shards, shard)
	}
	return r
}

// recordAttempt records that an attempt is sent and reports whether it is within the rate and burst.
func (r *Recorder) recordAttempt(a Arrival, now time.Time, attempt int) (within bool) {
	shard := r.shards[a.Workspace]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	within = shard.bucket.Take(now)
	if attempt > 1 {
		return within
	}
	interval := r.intervalAt(a.At)
	shard.intervals[interval].Arrived++
	shard.tallies[interval].Offered++
	shard.routes[a.Route].Offered++
	if within {
		shard.tallies[interval].Answerable++
	}
	return within
}

// recordOutcome records the outcome of an attempt that was sent at sent.
func (r *Recorder) recordOutcome(a Arrival, sent, now time.Time, within bool, outcome Outcome) {
	shard := r.shards[a.Workspace]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	arrival := r.intervalAt(a.At)
	shard.verdicts[outcome.Verdict]++
	shard.tallies[arrival].addAttempt(within, r.steady(sent.Sub(r.start)), outcome)
	completion := &shard.intervals[r.intervalAt(now.Sub(r.start))]
	switch outcome.Verdict {
	case Good:
		completion.Good++
		shard.intervals[arrival].Served++
		shard.tallies[arrival].Good++
		shard.routes[a.Route].Good++
		_ = shard.latency.RecordValue(now.Sub(sent).Microseconds())
	case Refused:
		completion.Refused++
		shard.refusals[outcome.Kind]++
	default:
		completion.Failed++
	}
}

// intervalAt returns the index of the interval that contains at, clamped to the intervals of the run.
func (r *Recorder) intervalAt(at time.Duration) int {
	last := len(r.shards[0].intervals) - 1
	return min(max(int(at/Interval), 0), last)
}

// Report returns a summary of the outcomes recorded so far.
func (r *Recorder) Report() Report {
	report := Report{Refusals: make(map[refusal.Kind]int64), Verdicts: make(map[Verdict]int64)}
	report.Intervals = make([]IntervalCounts, len(r.shards[0].intervals))
	report.Routes = make([]RouteTally, len(r.plan.Routes))
	latency := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
	for i, shard := range r.shards {
		shard.mu.Lock()
		report.tallies = append(report.tallies, slices.Clone(shard.tallies))
		report.workspaces = append(report.workspaces, r.plan.Workspaces[i].Name)
		addIntervals(report.Intervals, shard.intervals)
		addRoutes(report.Routes, shard.routes)
		addCounts(report.Refusals, shard.refusals)
		addCounts(report.Verdicts, shard.verdicts)
		latency.Merge(shard.latency)
		shard.mu.Unlock()
	}
	report.Latency = latencyPercentiles(latency)
	return report
}

func addIntervals(sum, addend []IntervalCounts) {
	for i, interval := range addend {
		sum[i].At = time.Duration(i) * Interval
		sum[i].Arrived += interval.Arrived
		sum[i].Served += interval.Served
		sum[i].Good += interval.Good
		sum[i].Refused += interval.Refused
		sum[i].Failed += interval.Failed
	}
}

func addRoutes(sum, addend []RouteTally) {
	for i, route := range addend {
		sum[i].Route, sum[i].Priority = route.Route, route.Priority
		sum[i].Offered += route.Offered
		sum[i].Good += route.Good
	}
}

func addCounts[K comparable](sum, addend map[K]int64) {
	for key, count := range addend {
		sum[key] += count
	}
}

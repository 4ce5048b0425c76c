package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sapphirespread.example/refusal"
)

// Interval is the length of one interval of the record.
const Interval = 100 * time.Millisecond

const (
	lowestLatency  = int64(time.Microsecond / time.Microsecond)
	highestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// A Recorder collects the outcomes of a run, in shards by workspace.
type Recorder struct {
	plan   Plan
	start  time.Time
	steady func(at time.Duration) bool
	shards []*recorderShard
}

type recorderShard struct {
	mu      sync.Mutex
	bucket  *Bucket
	moments []Moment
	// tallies holds one tally for each interval in which requests arrived.
	tallies  []Tally
	kinds    map[refusal.Kind]int64
	verdicts map[Verdict]int64
	routes   []RouteTally
	latency  *hdrhistogram.Histogram
}

// A RouteTally counts what came of the requests of one route.
type RouteTally struct {
	Route    string `json:"route"`
	Priority int    `json:"priority"`
	Offered  int64  `json:"offered"`
	Good     int64  `json:"good"`
}

// NewRecorder returns a Recorder of a run of plan that starts at start; steady tells whether requests
// sent at a time of the run ought not to be refused.
func NewRecorder(plan Plan, start time.Time, steady func(at time.Duration) bool) *Recorder {
	r := &Recorder{plan: plan, start: start, steady: steady}
	intervals := int(plan.Duration/Interval) + 1
	for _, workspace := range plan.Workspaces {
		shard := &recorderShard{
			bucket:   NewBucket(start, workspace.Limit),
			moments:  make([]Moment, intervals),
			tallies:  make([]Tally, intervals),
			kinds:    make(map[refusal.Kind]int64),
			verdicts: make(map[Verdict]int64),
			routes:   make([]RouteTally, len(plan.Routes)),
			latency:  hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		}
		for i, route := range plan.Routes {
			shard.routes[i] = RouteTally{Route: route.Name, Priority: route.Priority}
		}
		r.shards = append(r.shards, shard)
	}
	return r
}

// sent notes that an attempt is sent and tells whether it is within the rate and burst.
func (r *Recorder) sent(a Arrival, now time.Time, attempt int) (within bool) {
	shard := r.shards[a.Workspace]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	within = shard.bucket.Take(now)
	if attempt > 1 {
		return within
	}
	interval := r.interval(a.At)
	shard.moments[interval].Arrived++
	shard.tallies[interval].Offered++
	shard.routes[a.Route].Offered++
	if within {
		shard.tallies[interval].Answerable++
	}
	return within
}

// ended notes the outcome of an attempt that was sent at sent.
func (r *Recorder) ended(a Arrival, sent, now time.Time, within bool, outcome Outcome) {
	shard := r.shards[a.Workspace]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	arrival := r.interval(a.At)
	shard.verdicts[outcome.Verdict]++
	shard.tallies[arrival].attempt(within, r.steady(sent.Sub(r.start)), outcome)
	ended := &shard.moments[r.interval(now.Sub(r.start))]
	switch outcome.Verdict {
	case Good:
		ended.Good++
		shard.moments[arrival].Served++
		shard.tallies[arrival].Good++
		shard.routes[a.Route].Good++
		_ = shard.latency.RecordValue(now.Sub(sent).Microseconds())
	case Refused:
		ended.Refused++
		shard.kinds[outcome.Kind]++
	default:
		ended.Failed++
	}
}

func (r *Recorder) interval(at time.Duration) int {
	last := len(r.shards[0].moments) - 1
	return min(max(int(at/Interval), 0), last)
}

// Report returns what was recorded up to now.
func (r *Recorder) Report() Report {
	report := Report{Refusals: make(map[refusal.Kind]int64), Verdicts: make(map[Verdict]int64)}
	report.Moments = make([]Moment, len(r.shards[0].moments))
	report.Routes = make([]RouteTally, len(r.plan.Routes))
	latency := hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
	for i, shard := range r.shards {
		shard.mu.Lock()
		report.tallies = append(report.tallies, slices.Clone(shard.tallies))
		report.names = append(report.names, r.plan.Workspaces[i].Name)
		addMoments(report.Moments, shard.moments)
		addRoutes(report.Routes, shard.routes)
		addCounts(report.Refusals, shard.kinds)
		addCounts(report.Verdicts, shard.verdicts)
		latency.Merge(shard.latency)
		shard.mu.Unlock()
	}
	report.Latency = latencyOf(latency)
	return report
}

func addMoments(sum, part []Moment) {
	for i, moment := range part {
		sum[i].At = time.Duration(i) * Interval
		sum[i].Arrived += moment.Arrived
		sum[i].Served += moment.Served
		sum[i].Good += moment.Good
		sum[i].Refused += moment.Refused
		sum[i].Failed += moment.Failed
	}
}

func addRoutes(sum, part []RouteTally) {
	for i, route := range part {
		sum[i].Route, sum[i].Priority = route.Route, route.Priority
		sum[i].Offered += route.Offered
		sum[i].Good += route.Good
	}
}

func addCounts[K comparable](sum, part map[K]int64) {
	for key, count := range part {
		sum[key] += count
	}
}

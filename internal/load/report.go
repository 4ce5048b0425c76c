package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sapphirespread.example/refusal"
)

// Report holds the counts and latencies of a run.
type Report struct {
	Intervals  []IntervalCounts
	Routes     []RouteTally
	Refusals   map[refusal.Kind]int64
	Verdicts   map[Verdict]int64
	Latency    Latency
	workspaces []string
	tallies    [][]Tally
}

// Latency holds percentiles of the time from sending an attempt to receiving its good answer.
type Latency struct {
	P50 time.Duration `json:"p50"`
	P90 time.Duration `json:"p90"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

func latencyPercentiles(h *hdrhistogram.Histogram) Latency {
	percentile := func(percent float64) time.Duration {
		return time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond
	}
	return Latency{P50: percentile(50), P90: percentile(90), P99: percentile(99), Max: time.Duration(h.Max()) * time.Microsecond}
}

// Tallies returns one Tally per workspace, of the requests that arrived in the half-open interval [from, to).
func (r Report) Tallies(from, to time.Duration) []Tally {
	tallies := make([]Tally, len(r.tallies))
	for i, intervals := range r.tallies {
		tallies[i].Workspace = r.workspaces[i]
		for j := range intervals {
			if at := time.Duration(j) * Interval; at >= from && at < to {
				tallies[i].add(intervals[j])
			}
		}
	}
	return tallies
}

// Goodput returns the rate of good answers received in [from, to), in answers per second.
func (r Report) Goodput(from, to time.Duration) float64 {
	var good int64
	for _, interval := range r.Intervals {
		if interval.At >= from && interval.At < to {
			good += interval.Good
		}
	}
	return float64(good) / (to - from).Seconds()
}

// GoodShare returns the share of the requests arriving in [from, to) that got a good answer, and false if none
// arrived.
func (r Report) GoodShare(from, to time.Duration) (share float64, arrived bool) {
	var served, all int64
	for _, interval := range r.Intervals {
		if interval.At >= from && interval.At < to {
			served += interval.Served
			all += interval.Arrived
		}
	}
	if all == 0 {
		return 0, false
	}
	return float64(served) / float64(all), true
}

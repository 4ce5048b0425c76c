package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sapphirespread.example/refusal"
)

// A Report is the record of a run.
type Report struct {
	Moments  []Moment
	Routes   []RouteTally
	Refusals map[refusal.Kind]int64
	Verdicts map[Verdict]int64
	Latency  Latency
	names    []string
	tallies  [][]Tally
}

// Latency holds percentiles of the time to a good answer.
type Latency struct {
	P50 time.Duration `json:"p50"`
	P90 time.Duration `json:"p90"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(percent float64) time.Duration {
		return time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond
	}
	return Latency{P50: at(50), P90: at(90), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond}
}

// Tallies returns one tally a workspace of the requests that arrived from from until to.
func (r Report) Tallies(from, to time.Duration) []Tally {
	tallies := make([]Tally, len(r.tallies))
	for i, intervals := range r.tallies {
		tallies[i].Workspace = r.names[i]
		for j := range intervals {
			if at := time.Duration(j) * Interval; at >= from && at < to {
				tallies[i].add(intervals[j])
			}
		}
	}
	return tallies
}

// Goodput returns the good answers a second that came from from until to.
func (r Report) Goodput(from, to time.Duration) float64 {
	var good int64
	for _, moment := range r.Moments {
		if moment.At >= from && moment.At < to {
			good += moment.Good
		}
	}
	return float64(good) / (to - from).Seconds()
}

// Served returns the share of the requests arriving from from until to that were answered well, and
// false where none arrived.
func (r Report) Served(from, to time.Duration) (share float64, arrived bool) {
	var served, all int64
	for _, moment := range r.Moments {
		if moment.At >= from && moment.At < to {
			served += moment.Served
			all += moment.Arrived
		}
	}
	if all == 0 {
		return 0, false
	}
	return float64(served) / float64(all), true
}

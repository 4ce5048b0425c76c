package standin

import (
	"sync"
	"time"
)

// A Load is what a backend server reports of itself.
type Load struct {
	Slots       int `json:"slots"`
	InFlight    int `json:"in-flight"`
	Connections int `json:"connections"`
}

// A Health names how the health endpoint answers.
type Health string

// The ways in which the health endpoint answers.
const (
	Honest  Health = "honest"
	Healthy Health = "healthy"
	Failing Health = "failing"
	Hanging Health = "hanging"
)

// A Distortion makes reports lag or mislead.
type Distortion struct {
	Lag         time.Duration
	SlotsFactor float64
	Health      Health
}

// reporter keeps past loads, so that reports can lag.
type reporter struct {
	mu         sync.Mutex
	distortion Distortion
	past       []timedLoad
}

type timedLoad struct {
	at   time.Time
	load Load
}

func newReporter() *reporter {
	return &reporter{distortion: Distortion{SlotsFactor: 1, Health: Honest}}
}

func (r *reporter) distort(d Distortion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.distortion = d
}

func (r *reporter) health() Health {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.distortion.Health
}

// report records the load at now and returns the one to report.
func (r *reporter) report(now time.Time, load Load) Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.past = append(r.past, timedLoad{at: now, load: load})
	due := now.Add(-r.distortion.Lag)
	for len(r.past) > 1 && !r.past[1].at.After(due) {
		r.past = r.past[1:]
	}
	reported := r.past[0].load
	reported.Slots = max(int(float64(reported.Slots)*r.distortion.SlotsFactor), 1)
	return reported
}

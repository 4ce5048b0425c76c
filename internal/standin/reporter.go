package standin

import (
	"sync"
	"time"
)

// Load is the capacity and the current load that a backend server reports.
type Load struct {
	Slots       int `json:"slots"`
	InFlight    int `json:"in-flight"`
	Connections int `json:"connections"`
}

// HealthMode selects how the health endpoint responds.
type HealthMode string

// Modes of the health endpoint: the true state, always healthy, always failing, or no response.
const (
	Honest  HealthMode = "honest"
	Healthy HealthMode = "healthy"
	Failing HealthMode = "failing"
	Hanging HealthMode = "hanging"
)

// Distortion configures delayed or false load reports and the mode of the health endpoint.
type Distortion struct {
	Lag         time.Duration
	SlotsFactor float64
	Health      HealthMode
}

// reporter keeps past loads, so that it can report them with a delay.
type reporter struct {
	mu         sync.Mutex
	distortion Distortion
	history    []loadSample
}

type loadSample struct {
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

func (r *reporter) health() HealthMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.distortion.Health
}

// report records the load at now and returns the load to report, with the configured lag and slots factor.
func (r *reporter) report(now time.Time, load Load) Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, loadSample{at: now, load: load})
	cutoff := now.Add(-r.distortion.Lag)
	for len(r.history) > 1 && !r.history[1].at.After(cutoff) {
		r.history = r.history[1:]
	}
	reported := r.history[0].load
	reported.Slots = max(int(float64(reported.Slots)*r.distortion.SlotsFactor), 1)
	return reported
}

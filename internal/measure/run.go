package measure

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/joomcode/errorx"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/load"
)

const keyLength = 16

// A RunOption configures a run.
type RunOption func(*Setup)

// WithRecording records the decisions of the daemons in recording.
func WithRecording(recording *Recording) RunOption {
	return func(s *Setup) { s.Recording = recording }
}

// Run runs one scenario against one system and returns its measures. The deployment d must already be scaled.
func Run(ctx context.Context, name SystemName, s Scenario, d deployment.Deployment, seed uint64, times Times, opts ...RunOption) (Result, error) {
	plan := s.Plan(d, seed, times)
	if err := plan.Check(); err != nil {
		return Result{}, err
	}
	for i := range plan.Workspaces {
		plan.Workspaces[i].Key = newKey()
	}
	setup := Setup{Deployment: d, Workspaces: plan.Workspaces, Seed: seed, Downtime: times.Trigger}
	for _, opt := range opts {
		opt(&setup)
	}
	system, err := StartSystem(ctx, name, setup)
	if err != nil {
		return Result{}, errorx.Decorate(err, "start system %s", name)
	}
	report := applyLoad(ctx, system, s, setup, plan, times)
	result := Result{
		Scenario: s.Name, Deployment: d.Name, System: name, Seed: seed, Times: times,
		Repeated: system.Fleet().Repeated(), Crashes: system.Fleet().Crashes(), Latency: report.Latency, Refusals: report.Refusals,
		Verdicts: report.Verdicts, Routes: report.Routes, Intervals: report.Intervals,
	}
	if err := system.Stop(); err != nil {
		return result, errorx.Decorate(err, "stop system %s", name)
	}
	if err := ctx.Err(); err != nil {
		return result, errorx.Decorate(err, "run scenario %s", s.Name)
	}
	return result, Evaluate(&result, s, d, plan, report)
}

// applyLoad sends the load of plan, runs the trigger meanwhile and returns the report once both have ended.
func applyLoad(ctx context.Context, system System, s Scenario, setup Setup, plan load.Plan, times Times) load.Report {
	client := load.NewClient(system.Entries, plan.Seed)
	defer client.Close()
	start := time.Now()
	setup.Recording.setTriggerStart(start.Add(times.Before))
	recorder := load.NewRecorder(plan, start, s.Steady(times))
	triggerDone := make(chan struct{})
	go func() {
		defer close(triggerDone)
		s.runTrigger(ctx, system, setup.Deployment, start, times)
	}()
	opts := []load.RunnerOption{load.WithRetryPolicy(func(time.Duration) load.RetryPolicy { return s.RetryPolicy })}
	if s.crashingRoute != nil {
		opts = append(opts, load.WithCrashing(s.crashingArrival(setup.Deployment, plan, times)))
	}
	load.NewRunner(plan, client, opts...).Run(ctx, recorder)
	<-triggerDone
	setup.Recording.stop()
	return recorder.Report()
}

// runTrigger begins and ends the trigger at its times. It returns early if ctx ends.
func (s Scenario) runTrigger(ctx context.Context, system System, d deployment.Deployment, start time.Time, times Times) {
	if s.beginTrigger != nil && waitUntil(ctx, start.Add(times.Before)) {
		s.beginTrigger(d, system)
	}
	if s.endTrigger != nil && waitUntil(ctx, start.Add(times.End())) {
		s.endTrigger(d, system)
	}
}

// waitUntil waits until the given time. It returns false if ctx ends first.
func waitUntil(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// newKey returns a random workspace key.
func newKey() string {
	var secret [keyLength]byte
	_, _ = rand.Read(secret[:])
	return hex.EncodeToString(secret[:])
}

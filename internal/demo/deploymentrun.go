package demo

import (
	"context"
	"crypto/rand"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/load"
	"sapphirespread.example/internal/measure"
	"sapphirespread.example/timeline"
)

// A deploymentRun is one deployment with its load and its results.
type deploymentRun struct {
	deployment deployment.Deployment
	scenario   measure.Scenario
	workspaces []load.Workspace
	cluster    *measure.Cluster
	plan       load.Plan
	recorder   *load.Recorder
	events     []timeline.Event
}

func (r *deploymentRun) start(ctx context.Context, data string, seed uint64, logger zerolog.Logger) error {
	scenario, err := measure.FindScenario(scenarioName)
	if err != nil {
		return err
	}
	r.scenario = scenario
	r.workspaces = scenario.Plan(r.deployment, seed, measure.Times{}).Workspaces
	for i := range r.workspaces {
		r.workspaces[i].Key = rand.Text()
	}
	r.cluster, err = measure.StartCluster(ctx, measure.Setup{
		Deployment: r.deployment,
		Workspaces: r.workspaces,
		Seed:       seed,
		Folder:     filepath.Join(data, r.deployment.Name),
		Logger:     logger.With().Str("deployment", r.deployment.Name).Logger(),
	})
	return err
}

func (r *deploymentRun) prepare(times measure.Times, seed uint64, start time.Time) {
	r.plan = r.scenario.Plan(r.deployment, seed, times)
	r.plan.Workspaces = r.workspaces
	r.recorder = load.NewRecorder(r.plan, start, r.scenario.Steady(times))
}

func (r *deploymentRun) sendLoad(ctx context.Context) {
	client := load.NewClient(r.cluster.Entries, r.plan.Seed)
	defer client.Close()
	retryPolicy := func(time.Duration) load.RetryPolicy { return r.scenario.RetryPolicy }
	load.NewRunner(r.plan, client, load.WithRetryPolicy(retryPolicy)).Run(ctx, r.recorder)
}

func (r *deploymentRun) stop() error {
	if r.cluster == nil {
		return nil
	}
	err := r.cluster.Stop()
	r.events = r.cluster.Events()
	return err
}

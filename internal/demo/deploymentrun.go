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

// side is one of the deployments.
type side struct {
	deployment deployment.Deployment
	scenario   measure.Scenario
	workspaces []load.Workspace
	cluster    *measure.Cluster
	plan       load.Plan
	recorder   *load.Recorder
	events     []timeline.Event
}

func (s *side) start(ctx context.Context, data string, seed uint64, logger zerolog.Logger) error {
	scenario, err := measure.FindScenario(scenarioName)
	if err != nil {
		return err
	}
	s.scenario = scenario
	s.workspaces = scenario.Plan(s.deployment, seed, measure.Times{}).Workspaces
	for i := range s.workspaces {
		s.workspaces[i].Key = rand.Text()
	}
	s.cluster, err = measure.StartCluster(ctx, measure.Setup{
		Deployment: s.deployment,
		Workspaces: s.workspaces,
		Seed:       seed,
		Folder:     filepath.Join(data, s.deployment.Name),
		Logger:     logger.With().Str("deployment", s.deployment.Name).Logger(),
	})
	return err
}

func (s *side) prepare(times measure.Times, seed uint64, start time.Time) {
	s.plan = s.scenario.Plan(s.deployment, seed, times)
	s.plan.Workspaces = s.workspaces
	s.recorder = load.NewRecorder(s.plan, start, s.scenario.Steady(times))
}

func (s *side) run(ctx context.Context) {
	client := load.NewClient(s.cluster.Entries, s.plan.Seed)
	defer client.Close()
	retrier := func(time.Duration) load.RetryPolicy { return s.scenario.Retrier }
	load.NewRunner(s.plan, client, load.WithRetryPolicy(retrier)).Run(ctx, s.recorder)
}

func (s *side) stop() error {
	if s.cluster == nil {
		return nil
	}
	err := s.cluster.Stop()
	s.events = s.cluster.Events()
	return err
}

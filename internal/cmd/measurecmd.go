package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/measure"
)

// newMeasureCommand returns the command that compares sapphirespread with its baselines under load.
func newMeasureCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure goodput, recovery, fairness and wrongful refusals beside baselines",
		Description: "Sends the same load to each system, through real sockets on loopback, and compares four measures.\n" +
			"Example: sapphirespread measure --scenario surge --deployment banevakt --systems none,fixed,sapphirespread --plot plots",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "scenario", Usage: "`name` of a scenario, or all: " + strings.Join(scenarioNames(), ", "), Value: []string{"surge"}},
			&cli.StringSliceFlag{Name: "deployment", Usage: "banevakt or kite", Value: []string{"banevakt"}},
			&cli.StringSliceFlag{Name: "systems", Usage: "none, fixed and sapphirespread, or some of them", Value: []string{"none", "fixed", "sapphirespread"}},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the load and the service times", Value: 1},
			&cli.FloatFlag{Name: "scale", Usage: "`share` of the slots of the real deployment", Value: 0.1},
			&cli.DurationFlag{Name: "before", Usage: "`time` before the trigger", Value: 5 * time.Second},
			&cli.DurationFlag{Name: "trigger", Usage: "`time` that the trigger lasts", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "after", Usage: "`time` after the trigger", Value: 8 * time.Second},
			&cli.StringFlag{Name: "plot", Usage: "`folder` for a plot of goodput over time a scenario"},
			&cli.StringFlag{Name: "record", Usage: "`folder` for traces of what daemons of sapphirespread decided, to be replayed by tests"},
			outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error { return a.runMeasure(ctx, c) },
	}
}

func (a *app) runMeasure(ctx context.Context, command *cli.Command) error {
	if err := validateMeasureFlags(command); err != nil {
		return usageError{err}
	}
	var results []measure.Result
	for _, deploymentName := range command.StringSlice("deployment") {
		for _, scenarioName := range expandScenarioNames(command.StringSlice("scenario")) {
			scenarioResults, err := a.compareSystems(ctx, command, deploymentName, scenarioName)
			if err != nil {
				return err
			}
			results = append(results, scenarioResults...)
		}
	}
	return a.print(command, results, func(w io.Writer) error { return measure.WriteText(w, results) })
}

// compareSystems runs one scenario against each system in turn, and writes a joint plot if the plot flag is set.
func (a *app) compareSystems(ctx context.Context, command *cli.Command, deploymentName, scenarioName string) ([]measure.Result, error) {
	scenario, err := measure.FindScenario(scenarioName)
	if err != nil {
		return nil, err
	}
	fullSize, err := deployment.Find(deploymentName)
	if err != nil {
		return nil, err
	}
	scale := command.Float("scale")
	times := measure.Times{Before: command.Duration("before"), Trigger: command.Duration("trigger"), After: command.Duration("after")}
	var results []measure.Result
	for _, systemName := range command.StringSlice("systems") {
		_, _ = fmt.Fprintf(a.stderr, "measure: %s, %s, %s\n", deploymentName, scenarioName, systemName)
		result, err := runScenario(ctx, command, measure.SystemName(systemName), scenario, fullSize.Scaled(scale), times)
		if err != nil {
			return nil, err
		}
		result.Scale = scale
		results = append(results, result)
	}
	if folder := command.String("plot"); folder != "" {
		if _, err := measure.Plot(folder, results); err != nil {
			return nil, err
		}
	}
	return results, nil
}

// runScenario runs one scenario against one system. If the record flag is set, it writes a trace of the decisions of
// sapphirespread's daemons.
func runScenario(
	ctx context.Context, command *cli.Command, system measure.SystemName, scenario measure.Scenario, d deployment.Deployment, times measure.Times,
) (measure.Result, error) {
	seed, folder := command.Uint64("seed"), command.String("record")
	if folder == "" || system != measure.Sapphirespread {
		return measure.Run(ctx, system, scenario, d, seed, times)
	}
	recording := measure.NewRecording()
	result, err := measure.Run(ctx, system, scenario, d, seed, times, measure.WithRecording(recording))
	if err != nil {
		return result, err
	}
	return result, recording.Write(folder, scenario, d, seed, times)
}

func validateMeasureFlags(command *cli.Command) error {
	for _, scenario := range expandScenarioNames(command.StringSlice("scenario")) {
		if _, err := measure.FindScenario(scenario); err != nil {
			return err
		}
	}
	for _, name := range command.StringSlice("deployment") {
		if _, err := deployment.Find(name); err != nil {
			return err
		}
	}
	for _, name := range command.StringSlice("systems") {
		if _, err := measure.ParseSystemName(name); err != nil {
			return err
		}
	}
	if command.Float("scale") <= 0 {
		return fmt.Errorf("--scale: want a number above 0")
	}
	return nil
}

func expandScenarioNames(names []string) []string {
	if len(names) == 1 && names[0] == "all" {
		return scenarioNames()
	}
	return names
}

func scenarioNames() []string {
	var names []string
	for _, scenario := range measure.Scenarios() {
		names = append(names, scenario.Name)
	}
	return names
}

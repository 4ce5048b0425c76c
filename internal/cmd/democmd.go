package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/demo"
)

var errDemoFlags = fmt.Errorf("--duration: want at least %v; --scale: want a number above 0", demo.ShortestDuration)

// newDemoCommand returns the command that runs both deployments in one process under load.
func newDemoCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run both deployments on this machine, with a surge in the middle",
		Description: "Starts control instances, daemons and backend servers in one process, all on loopback, sends load and stops by itself.\n" +
			"Progress goes to standard error, the summary to standard output.\n" +
			"Example: sapphirespread demo --duration 45s --timeline-dir timeline",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "`time` from start to end", Value: demo.DefaultDuration},
			&cli.FloatFlag{Name: "scale", Usage: "`share` of the slots of the real deployments", Value: demo.DefaultScale},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the load and the service times", Value: 1},
			&cli.StringFlag{Name: "timeline-dir", Usage: "`folder` for the time line of all processes, as text and as a page"},
			&cli.BoolFlag{Name: "verbose", Usage: "log what the processes say"},
			outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error { return a.runDemo(ctx, c) },
	}
}

func (a *app) runDemo(ctx context.Context, c *cli.Command) error {
	if c.Duration("duration") < demo.ShortestDuration || c.Float("scale") <= 0 {
		return usageError{errDemoFlags}
	}
	opts := []demo.Option{
		demo.WithDuration(c.Duration("duration")),
		demo.WithScale(c.Float("scale")),
		demo.WithSeed(c.Uint64("seed")),
		demo.WithProgress(a.stderr),
		demo.WithTimelineFolder(c.String("timeline-dir")),
	}
	if c.Bool("verbose") {
		opts = append(opts, demo.WithLogger(zerolog.New(os.Stderr).With().Timestamp().Logger()))
	}
	summary, err := demo.New(opts...).Run(ctx)
	if err != nil {
		return err
	}
	return a.print(c, summary, summary.WriteText)
}

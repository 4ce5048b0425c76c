package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/control"
	"sapphirespread.example/internal/daemon"
	"sapphirespread.example/internal/logs/outlet"
	"sapphirespread.example/platform"
)

func newPlatformCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a process on the platform, by the platform's settings file",
		Description: "The settings file is the one that " + platform.SettingsVariable + " names, or SETTINGS.\n" +
			"Stops on SIGTERM.\n\n" +
			"Example:\n   sapphirespread platform daemon --check node.yaml",
		Commands: []*cli.Command{
			platformProcess("daemon", "run the daemon beside a backend server", a.runPlatformDaemon),
			platformProcess("control", "run a control instance", a.runPlatformControl),
		},
	}
}

func platformProcess(name, usage string, run func(context.Context, platform.Node, bool) error) *cli.Command {
	return &cli.Command{
		Name:        name,
		Usage:       usage,
		ArgsUsage:   "[SETTINGS]",
		Description: "Example:\n   sapphirespread platform " + name + " --check node.yaml",
		Flags:       []cli.Flag{checkFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			paths, err := arguments(c, 0, 1)
			if err != nil {
				return err
			}
			path := platform.SettingsPath()
			if len(paths) > 0 {
				path = paths[0]
			}
			node, err := platform.LoadNode(path)
			if err != nil {
				return err
			}
			return run(ctx, node, c.Bool(checkName))
		},
	}
}

func (a *app) runPlatformDaemon(ctx context.Context, node platform.Node, checkOnly bool) error {
	loaded, err := node.DaemonSettings()
	if err != nil || checkOnly {
		return err
	}
	out := outlet.New(a.stdout)
	defer out.Close()
	logger, err := newLogger(out, loaded.Log, loaded.Name)
	if err != nil {
		return err
	}
	tuneCollector()
	options := append(node.DaemonOptions(), daemon.WithLogger(logger))
	return daemon.New(loaded, options...).Run(ctx)
}

func (a *app) runPlatformControl(ctx context.Context, node platform.Node, checkOnly bool) error {
	loaded, err := node.ControlSettings()
	if err != nil || checkOnly {
		return err
	}
	out := outlet.New(a.stdout)
	defer out.Close()
	logger, err := newLogger(out, loaded.Log, loaded.Name)
	if err != nil {
		return err
	}
	options := append(node.ControlOptions(), control.WithLogger(logger))
	return control.New(loaded, options...).Run(ctx)
}

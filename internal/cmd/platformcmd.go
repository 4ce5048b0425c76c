package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/control"
	"sapphirespread.example/internal/daemon"
	"sapphirespread.example/internal/logs/logwriter"
	"sapphirespread.example/internal/settings"
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
			newPlatformProcess("daemon", "run the daemon beside a backend server", a.runPlatformDaemon),
			newPlatformProcess("control", "run a control instance", a.runPlatformControl),
		},
	}
}

// A platformProcess runs one process by the platform's settings, or only checks them.
type platformProcess func(ctx context.Context, path string, node platform.Node, checkOnly bool) error

func newPlatformProcess(name, usage string, run platformProcess) *cli.Command {
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
			return run(ctx, path, node, c.Bool(checkName))
		},
	}
}

func (a *app) runPlatformDaemon(ctx context.Context, path string, node platform.Node, checkOnly bool) error {
	loaded, err := node.DaemonSettings()
	if err != nil || checkOnly {
		return err
	}
	tuneCollector()
	return a.logged(loaded.Log, loaded.Name, func(logger, requests zerolog.Logger) error {
		logger.Info().Str("node", node.Name).Interface("settings", loaded).Msg("platform: started")
		options := append(node.DaemonOptions(), daemon.WithLogger(logger), daemon.WithRequestLogger(requests))
		process := daemon.New(loaded, options...)
		reload := func(next platform.Node) error {
			changed, err := next.DaemonSettings()
			if err == nil {
				process.SetControl(changed.Control)
			}
			return err
		}
		return watched(ctx, path, node, logger, reload, process.Run)
	})
}

func (a *app) runPlatformControl(ctx context.Context, path string, node platform.Node, checkOnly bool) error {
	loaded, err := node.ControlSettings()
	if err != nil || checkOnly {
		return err
	}
	return a.logged(loaded.Log, loaded.Name, func(logger, _ zerolog.Logger) error {
		logger.Info().Str("node", node.Name).Interface("settings", loaded).Msg("platform: started")
		options := append(node.ControlOptions(), control.WithLogger(logger))
		// Members know one another from the log; other seeds count at the next start.
		reload := func(next platform.Node) error {
			_, err := next.ControlSettings()
			return err
		}
		return watched(ctx, path, node, logger, reload, control.New(loaded, options...).Run)
	})
}

// logged runs a process whose log goes to standard output without ever making it wait: what it tells of itself, and what
// touches single requests, which floods under load.
func (a *app) logged(log settings.Log, name string, run func(states, requests zerolog.Logger) error) error {
	out := logwriter.New(a.stdout)
	defer out.Close()
	logger, err := newLogger(out.StateWriter(), log, name)
	if err != nil {
		return err
	}
	requests, err := newLogger(out, log, name)
	if err != nil {
		return err
	}
	err = run(logger, requests)
	logger.Info().Err(err).Msg("platform: stopped")
	return err
}

// watched runs a process beside a watch of its settings file, which SIGHUP hints at.
func watched(ctx context.Context, path string, node platform.Node, logger zerolog.Logger, reload func(platform.Node) error, run func(context.Context) error) error {
	hints := make(chan os.Signal, 1)
	signal.Notify(hints, syscall.SIGHUP)
	defer signal.Stop(hints)
	watching, stop := context.WithCancel(ctx)
	defer stop()
	failed := func(err error) {
		logger.Warn().Err(err).Msg("platform: changed settings not taken")
	}
	go node.Watch(watching, path, hints, func(next platform.Node) {
		if err := reload(next); err != nil {
			failed(err)
			return
		}
		logger.Info().Interface("seeds", next.Seeds).Msg("platform: settings reloaded")
	}, failed)
	return run(ctx)
}

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
		Usage: "run a process on the platform, by the platform's settings file, or check its documents",
		Description: "The settings file is the one that " + platform.SettingsVariable + " names, or SETTINGS.\n" +
			"Stops on SIGTERM.\n\n" +
			"Example:\n   sapphirespread platform daemon --check node.yaml",
		Commands: []*cli.Command{
			newPlatformProcessCommand("daemon", "run the daemon beside a backend server", a.runPlatformDaemon),
			newPlatformProcessCommand("control", "run a control instance", a.runPlatformControl),
			newPlatformCheckCommand(a),
		},
	}
}

// A platformRunner runs a process with the platform's settings, or only checks the settings.
type platformRunner func(ctx context.Context, path string, node platform.Node, checkOnly bool) error

func newPlatformProcessCommand(name, usage string, run platformRunner) *cli.Command {
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
			return run(ctx, path, node, c.Bool(checkFlagName))
		},
	}
}

func (a *app) runPlatformDaemon(ctx context.Context, path string, node platform.Node, checkOnly bool) error {
	cfg, err := node.DaemonSettings()
	if err != nil || checkOnly {
		return err
	}
	tuneGC(cfg.Resources.Memory, daemonGCPercent)
	return a.runWithLoggers(cfg.Log, cfg.Name, func(logger, requests zerolog.Logger) error {
		logger.Info().Str("node", node.Name).Interface("settings", cfg).Msg("platform: started")
		options := append(node.DaemonOptions(), daemon.WithLogger(logger), daemon.WithRequestLogger(requests))
		process := daemon.New(cfg, options...)
		reload := func(next platform.Node) error {
			updated, err := next.DaemonSettings()
			if err == nil {
				process.SetControl(updated.Control)
			}
			return err
		}
		return runWithReload(ctx, path, node, logger, reload, process.Run)
	})
}

func (a *app) runPlatformControl(ctx context.Context, path string, node platform.Node, checkOnly bool) error {
	cfg, err := node.ControlSettings()
	if err != nil || checkOnly {
		return err
	}
	tuneGC(cfg.Resources.Memory, controlGCPercent)
	return a.runWithLoggers(cfg.Log, cfg.Name, func(logger, _ zerolog.Logger) error {
		logger.Info().Str("node", node.Name).Interface("settings", cfg).Msg("platform: started")
		options := append(node.ControlOptions(), control.WithLogger(logger))
		// Members learn each other's addresses from the replicated log, so changed seeds take effect at the next start.
		reload := func(next platform.Node) error {
			_, err := next.ControlSettings()
			return err
		}
		return runWithReload(ctx, path, node, logger, reload, control.New(cfg, options...).Run)
	})
}

// runWithLoggers runs a process with two loggers that write to standard output without blocking it: one for the state
// of the process, and one for single requests, whose lines flood the log under load.
func (a *app) runWithLoggers(log settings.Log, name string, run func(states, requests zerolog.Logger) error) error {
	logs := logwriter.New(a.stdout)
	defer logs.Close()
	logger, err := newLogger(logs.StateWriter(), log, name)
	if err != nil {
		return err
	}
	requests, err := newLogger(logs, log, name)
	if err != nil {
		return err
	}
	err = run(logger, requests)
	logger.Info().Err(err).Msg("platform: stopped")
	return err
}

// runWithReload runs a process and calls reload when its settings file changes. SIGHUP triggers an immediate
// check of the file.
func runWithReload(ctx context.Context, path string, node platform.Node, logger zerolog.Logger, reload func(platform.Node) error, run func(context.Context) error) error {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	logFailure := func(err error) {
		logger.Warn().Err(err).Msg("platform: reloading the settings failed")
	}
	go node.Watch(watchCtx, path, reloadSignals, func(next platform.Node) {
		if err := reload(next); err != nil {
			logFailure(err)
			return
		}
		logger.Info().Interface("seeds", next.Seeds).Msg("platform: settings reloaded")
	}, logFailure)
	return run(ctx)
}

package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/daemon"
	"sapphirespread.example/internal/secure"
	"sapphirespread.example/internal/settings"
)

func newDaemonCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:      "daemon",
		Usage:     "run the daemon beside a backend server",
		ArgsUsage: "SETTINGS",
		Description: "Serves callers, the sub-calls and announcements of its backend server, and calls of other daemons.\n" +
			"Stops on SIGTERM once what is in flight is finished.\n\n" +
			"Example:\n   sapphirespread daemon daemon.toml",
		Flags: []cli.Flag{checkFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			paths, err := arguments(c, 1, 1)
			if err != nil {
				return err
			}
			cfg, err := settings.LoadDaemon(paths[0])
			if err != nil || c.Bool(checkFlagName) {
				return err
			}
			return a.runDaemon(ctx, cfg)
		},
	}
}

const checkFlagName = "check"

func checkFlag() cli.Flag {
	return &cli.BoolFlag{Name: checkFlagName, Usage: "check the settings and stop", Local: true}
}

func (a *app) runDaemon(ctx context.Context, cfg settings.Daemon) error {
	logger, err := newLogger(a.stderr, cfg.Log, cfg.Name)
	if err != nil {
		return err
	}
	tlsConfig, err := secure.Load(cfg.TLS)
	if err != nil {
		return fmt.Errorf("securing sessions: %w", err)
	}
	tuneGC(cfg.Resources.Memory, daemonGCPercent)
	return daemon.New(cfg, daemon.WithLogger(logger), daemon.WithTLS(tlsConfig)).Run(ctx)
}

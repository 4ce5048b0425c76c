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
			loaded, err := settings.LoadDaemon(paths[0])
			if err != nil || c.Bool(checkName) {
				return err
			}
			return a.runDaemon(ctx, loaded)
		},
	}
}

const checkName = "check"

func checkFlag() cli.Flag {
	return &cli.BoolFlag{Name: checkName, Usage: "check the settings and stop", Local: true}
}

func (a *app) runDaemon(ctx context.Context, loaded settings.Daemon) error {
	logger, err := newLogger(a.stderr, loaded.Log, loaded.Name)
	if err != nil {
		return err
	}
	secured, err := secure.Load(loaded.TLS)
	if err != nil {
		return fmt.Errorf("securing sessions: %w", err)
	}
	tuneCollector()
	return daemon.New(loaded, daemon.WithLogger(logger), daemon.WithTLS(secured)).Run(ctx)
}

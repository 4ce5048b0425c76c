package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/control"
	"sapphirespread.example/internal/secure"
	"sapphirespread.example/internal/settings"
)

func newControlCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:      "control",
		Usage:     "run a control instance",
		ArgsUsage: "SETTINGS",
		Description: "Keeps the replicated state in its data folder and serves daemons and operators.\n" +
			"Stops on SIGTERM; a leader hands over first.\n\n" +
			"Example:\n   sapphirespread control control.toml",
		Flags:    []cli.Flag{checkFlag()},
		Commands: []*cli.Command{newControlRecoverCommand(a)},
		Action: func(ctx context.Context, c *cli.Command) error {
			paths, err := arguments(c, 1, 1)
			if err != nil {
				return err
			}
			cfg, err := settings.LoadControl(paths[0])
			if err != nil || c.Bool(checkFlagName) {
				return err
			}
			return a.runControl(ctx, cfg)
		},
	}
}

func (a *app) runControl(ctx context.Context, cfg settings.Control) error {
	logger, err := newLogger(a.stderr, cfg.Log, cfg.Name)
	if err != nil {
		return err
	}
	tlsConfig, err := secure.Load(cfg.TLS)
	if err != nil {
		return fmt.Errorf("securing sessions: %w", err)
	}
	tuneGC(cfg.Resources.Memory, controlGCPercent)
	return control.New(cfg, control.WithLogger(logger), control.WithTLS(tlsConfig)).Run(ctx)
}

package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/control"
	"sapphirespread.example/internal/secure"
	"sapphirespread.example/internal/settings"
	"sapphirespread.example/replica"
)

const (
	confirmFlagName    = "confirm"
	runUntimedFlagName = "run-untimed"
)

func newControlRecoverCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:      "recover",
		Usage:     "go on from one data folder after the majority is lost for good",
		ArgsUsage: "SETTINGS",
		Description: "Makes a stopped instance the only member of a new generation, from all that its data folder holds.\n" +
			"What the lost instances had accepted beyond that is lost. Tells what it would do and changes nothing,\n" +
			"unless --confirm is given.\n\n" +
			"Example:\n   sapphirespread control recover --confirm control.toml",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: confirmFlagName, Usage: "recover, rather than tell what would be done"},
			&cli.BoolFlag{Name: runUntimedFlagName, Usage: "let idempotency keys without a time run at once, though they may have run before"},
			authorFlag(), outputFlag(),
		},
		Action: a.recoverControl,
	}
}

// recoveryResult is the output of the recover command.
type recoveryResult struct {
	control.RecoveryReport
	Done bool `json:"done"`
}

func (a *app) recoverControl(ctx context.Context, c *cli.Command) error {
	paths, err := arguments(c, 1, 1)
	if err != nil {
		return err
	}
	cfg, err := settings.LoadControl(paths[0])
	if err != nil {
		return err
	}
	recovery, err := control.OpenRecovery(cfg)
	if errors.Is(err, replica.ErrOnlyVoter) {
		return fmt.Errorf("%s is the only voter of its cluster and needs no recovery, start it: %w", cfg.Name, err)
	}
	if err != nil {
		return fmt.Errorf("recovering %s: %w", cfg.Name, err)
	}
	defer recovery.Close()
	tlsConfig, err := secure.Load(cfg.TLS)
	if err != nil {
		return fmt.Errorf("securing sessions: %w", err)
	}
	if running := recovery.Running(ctx, tlsConfig); len(running) > 0 {
		return fmt.Errorf("recovering %s: %s still answers, and a recovery would stop it for good; stop it first where it is to be given up",
			cfg.Name, strings.Join(running, " and "))
	}
	result := recoveryResult{recovery.Report(), c.Bool(confirmFlagName)}
	if result.Done {
		if err := recovery.Force(time.Now(), c.String("author"), c.Bool(runUntimedFlagName)); err != nil {
			return fmt.Errorf("recovering %s: %w", cfg.Name, err)
		}
	}
	return a.print(c, result, func(w io.Writer) error { return result.write(w, c.Bool(runUntimedFlagName)) })
}

func (r recoveryResult) write(w io.Writer, runUntimed bool) error {
	verb := "would be"
	if r.Done {
		verb = "is"
	}
	untimed := "answered outcome-unknown for 24 hours (see --run-untimed)"
	if runUntimed {
		untimed = "run at once, and a second time where their claim is lost"
	}
	_, err := fmt.Fprintf(w, `%[1]s holds entries up to %[2]d of term %[3]d, written %[4]s, as a %[5]s:
revision %[6]d and %[7]d claims. Recover the folder with the highest term, then entry.

%[1]s %[8]s the only member of generation %[9]d, without %[10]s.

- Publications after revision %[6]d are lost: withdrawn keys work again, limits are the older ones.
  Revision %[6]d is published again as %[11]d; daemons of the old cluster take it.
- Releases and reports of crashes after that entry are lost: quarantined requests may run again.
- Claims after that entry are lost. Idempotency keys that carry a time up to a minute after the recovery and are
  not held here never run; they are answered outcome-unknown. Keys without a time are
  %[12]s.
- The lost instances are refused for good once they reach a member. Destroy their folders: two of them that
  reach no member would go on as the old cluster.
`, r.Name, r.LastIndex, r.LastTerm, r.LastAt.Format(time.RFC3339), r.Role, r.Revision, r.Claims.Keys,
		verb, r.Generation, strings.Join(r.Lost, ", "), r.Recovered, untimed)
	if err != nil || r.Done {
		return err
	}
	_, err = fmt.Fprintf(w, "\nNothing was changed. Give --confirm to recover.\n")
	return err
}

package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/operator"
)

func newQuarantineCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:  "quarantine",
		Usage: "list and release requests that crashed backend servers",
		Commands: []*cli.Command{
			{
				Name:  "list",
				Usage: "list suspect and quarantined requests",
				Description: "Lists each fingerprint with the crashes that it was in flight at.\n\n" +
					"Example:\n   sapphirespread quarantine list --control 127.0.0.1:7102",
				Flags:  []cli.Flag{controlFlag(), outputFlag()},
				Action: a.listQuarantine,
			},
			{
				Name:      "release",
				Usage:     "let a quarantined request run again",
				ArgsUsage: "FINGERPRINT",
				Description: "Example:\n" +
					"   sapphirespread quarantine release --control 127.0.0.1:7102 0a1b2c3d4e5f60718293a4b5c6d7e8f9",
				Flags:  []cli.Flag{controlFlag(), dryRunFlag(), outputFlag()},
				Action: a.release,
			},
		},
	}
}

func (a *app) listQuarantine(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c, 0, 0); err != nil {
		return err
	}
	api, err := a.api(c)
	if err != nil {
		return err
	}
	entries, err := api.Quarantine(ctx)
	if err != nil {
		return fmt.Errorf("reading the quarantine: %w", err)
	}
	return a.print(c, mapSlice(entries, newQuarantineRow), func(w io.Writer) error {
		return printQuarantine(w, entries)
	})
}

// quarantineRow is the JSON output of one quarantine entry.
type quarantineRow struct {
	Fingerprint string   `json:"fingerprint"`
	State       string   `json:"state"`
	Remaining   string   `json:"remaining"`
	Crashes     []string `json:"crashes"`
}

func newQuarantineRow(e operator.QuarantineEntry) quarantineRow {
	return quarantineRow{e.Fingerprint, e.State, e.Remaining.String(), e.Crashes}
}

func printQuarantine(w io.Writer, entries []operator.QuarantineEntry) error {
	var rows [][]any
	for _, e := range entries {
		rows = append(rows, []any{e.Fingerprint, e.State, e.Remaining, strings.Join(e.Crashes, ",")})
	}
	return printTable(w, []string{"FINGERPRINT", "STATE", "REMAINING", "CRASHES"}, rows)
}

func (a *app) release(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return err
	}
	api, err := a.api(c)
	if err != nil {
		return err
	}
	if err := api.Release(ctx, args[0]); err != nil {
		return fmt.Errorf("releasing the request: %w", err)
	}
	return a.printActionResult(c, "released", args[0])
}

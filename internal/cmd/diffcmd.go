package cmd

import (
	"context"
	"fmt"
	"io"
	"math"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/operator"
)

func newDiffCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what changed between two revisions, or what a publish would change",
		ArgsUsage: "[PATH...]",
		Description: "With paths, compares the set in them with the one in force (or --from). Without, compares --from with --to\n" +
			"(or the one in force).\n\n" +
			"Examples:\n   sapphirespread diff --control 127.0.0.1:7102 objects\n" +
			"   sapphirespread diff --control 127.0.0.1:7102 --from 41 --to 43",
		Flags: []cli.Flag{
			controlFlag(),
			&cli.Uint64Flag{Name: "from", Usage: "compare with `REVISION`"},
			&cli.Uint64Flag{Name: "to", Usage: "compare `REVISION`"},
			outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			paths, err := arguments(c, 0, math.MaxInt)
			if err != nil {
				return err
			}
			if len(paths) > 0 && c.IsSet("to") {
				return usageError{fmt.Errorf("diff compares paths or --to, not both")}
			}
			if len(paths) == 0 && !c.IsSet("from") {
				return usageError{fmt.Errorf("diff needs paths or --from")}
			}
			return a.diff(ctx, c, paths)
		},
	}
}

func (a *app) diff(ctx context.Context, c *cli.Command, paths []string) error {
	api, err := a.api(c)
	if err != nil {
		return err
	}
	from, err := revisionOrCurrent(ctx, c, api, "from")
	if err != nil {
		return err
	}
	changes, err := a.loadChanges(ctx, c, api, from, paths)
	if err != nil {
		return err
	}
	return a.print(c, append([]configuration.Change{}, changes...), func(w io.Writer) error {
		return printChanges(w, from.Set, changes)
	})
}

// loadChanges returns the changes from a revision to the set at paths or, without paths, to the revision of the to
// flag.
func (a *app) loadChanges(ctx context.Context, c *cli.Command, api operator.API, from operator.Revision, paths []string) ([]configuration.Change, error) {
	if len(paths) > 0 {
		set, err := loadSet(paths)
		if err != nil {
			return nil, fmt.Errorf("the set is not whole:\n%w", err)
		}
		return set.Changes(from.Set), nil
	}
	to, err := revisionOrCurrent(ctx, c, api, "to")
	if err != nil {
		return nil, err
	}
	changes, err := api.Diff(ctx, from.Number, to.Number)
	if err != nil {
		return nil, fmt.Errorf("comparing revisions: %w", err)
	}
	return changes, nil
}

// revisionOrCurrent returns the revision given by a flag, or the revision in force if the flag is not set.
func revisionOrCurrent(ctx context.Context, c *cli.Command, api operator.API, flag string) (operator.Revision, error) {
	if !c.IsSet(flag) {
		revision, err := api.Current(ctx)
		if err != nil {
			return revision, fmt.Errorf("reading the revision in force: %w", err)
		}
		return revision, nil
	}
	revision, err := api.Revision(ctx, c.Uint64(flag))
	if err != nil {
		return revision, fmt.Errorf("reading revision %d: %w", c.Uint64(flag), err)
	}
	return revision, nil
}

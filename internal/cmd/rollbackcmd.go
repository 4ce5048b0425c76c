package cmd

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/operator"
)

func newRollbackCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:      "rollback",
		Usage:     "publish the content of an older revision as a new one",
		ArgsUsage: "REVISION",
		Description: "Revisions never reverse: the old content comes into force under a new number, on the revision in force\n" +
			"or on --base.\n\n" +
			"Example:\n   sapphirespread rollback --control 127.0.0.1:7102 41",
		Flags: []cli.Flag{
			controlFlag(), baseFlag("`REVISION` that must be in force; the one found by default"),
			authorFlag(), commentFlag(), waitFlag(), dryRunFlag(), outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			args, err := arguments(c, 1, 1)
			if err != nil {
				return err
			}
			to, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usageError{fmt.Errorf("reading the revision: expected a whole number: %w", err)}
			}
			return a.rollback(ctx, c, to)
		},
	}
}

func (a *app) rollback(ctx context.Context, c *cli.Command, to uint64) error {
	api, err := a.api(c)
	if err != nil {
		return err
	}
	base := c.Uint64("base")
	if !c.IsSet("base") {
		current, err := api.Current(ctx)
		if err != nil {
			return fmt.Errorf("reading the revision in force: %w", err)
		}
		base = current.Number
	}
	request := operator.Rollback{
		Base: base, To: to, Author: c.String("author"), Comment: c.String("comment"),
	}
	if request.Comment == "" {
		request.Comment = fmt.Sprintf("roll back to revision %d", to)
	}
	if request.ID, err = rollbackID(request); err != nil {
		return err
	}
	result, err := api.Rollback(ctx, request)
	if err != nil {
		return fmt.Errorf("rolling back: %w", err)
	}
	return a.finishPublish(ctx, c, api, base, result)
}

// rollbackID returns a hash of the request, for the same reason as publicationID.
func rollbackID(r operator.Rollback) (string, error) {
	encoded, err := json.Marshal(r)
	if err != nil {
		return "", fmt.Errorf("encoding the rollback: %w", err)
	}
	sum := sha256.Sum256(encoded)
	return "rollback-" + hex.EncodeToString(sum[:publicationIDBytes]), nil
}

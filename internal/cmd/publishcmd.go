package cmd

import (
	"context"
	"fmt"
	"math"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/configuration"
)

func newPublishCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "put a set of objects into force",
		ArgsUsage: "PATH...",
		Description: "Checks the set and publishes it on the revision that it was taken from: --base, or the number that\n" +
			"the last publish or show noted in the file .revision beside it, or 0. If another publish was faster, the\n" +
			"answer is a conflict and nothing changes. Running the same command again after a lost answer is harmless:\n" +
			"the same set on the same base by the same author is one publication.\n\n" +
			"Example:\n   sapphirespread publish --control 127.0.0.1:7102 --comment 'more for Bergen' --wait 5s objects",
		Flags: []cli.Flag{
			controlFlag(),
			baseFlag("`REVISION` that the set builds on"),
			&cli.StringFlag{Name: "id", Usage: "publication `ID` in place of the one made of the content"},
			authorFlag(), commentFlag(), waitFlag(), dryRunFlag(), outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			paths, err := arguments(c, 1, math.MaxInt)
			if err != nil {
				return err
			}
			return a.publish(ctx, c, paths)
		},
	}
}

func (a *app) publish(ctx context.Context, c *cli.Command, paths []string) error {
	set, err := loadSet(paths)
	if err != nil {
		return fmt.Errorf("the set is not whole, nothing was published:\n%w", err)
	}
	base, err := baseRevision(c, paths[0])
	if err != nil {
		return err
	}
	api, err := a.api(c)
	if err != nil {
		return err
	}
	request := configuration.PublishRequest{
		ID: c.String("id"), Base: base, Author: c.String("author"), Comment: c.String("comment"), Set: set,
	}
	if request.ID == "" {
		request.ID = publicationID(request)
	}
	result, err := api.Publish(ctx, request)
	if err != nil {
		return fmt.Errorf("publishing (the outcome is not known; run the same command again): %w", err)
	}
	if result.Kind == configuration.Accepted && !c.Bool("dry-run") {
		if err := writeBaseRevision(paths[0], result.Revision); err != nil {
			return err
		}
	}
	return a.finishPublish(ctx, c, api, base, result)
}

func baseRevision(c *cli.Command, path string) (uint64, error) {
	if c.IsSet("base") {
		return c.Uint64("base"), nil
	}
	return readBaseRevision(path)
}

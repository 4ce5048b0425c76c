package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/operator"
)

// withdrawTries bounds how often a withdrawal is tried again on the revision of a faster publish.
const withdrawTries = 10

func newKeyWithdrawCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:      "withdraw",
		Usage:     "withdraw a key at once",
		ArgsUsage: "NAME",
		Description: "Publishes the set in force with this one key withdrawn; it stops working within seconds, also for callers\n" +
			"that are connected. Set withdrawn = true in your own folder too, or the next publish from it gives the key back.\n\n" +
			"Example:\n   sapphirespread key withdraw --control 127.0.0.1:7102 --wait 5s oslo-2026",
		Flags: []cli.Flag{controlFlag(), authorFlag(), commentFlag(), waitFlag(), dryRunFlag(), outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			args, err := arguments(c, 1, 1)
			if err != nil {
				return err
			}
			return a.withdrawKey(ctx, c, args[0])
		},
	}
}

func (a *app) withdrawKey(ctx context.Context, c *cli.Command, name string) error {
	api, err := a.api(c)
	if err != nil {
		return err
	}
	for range withdrawTries {
		publish, withdrawn, err := withdrawal(ctx, c, api, name)
		if err != nil {
			return err
		}
		if withdrawn {
			return a.finishPublished(ctx, c, api, publish.Base, configuration.PublishResult{Kind: configuration.Accepted, Revision: publish.Base})
		}
		published, err := api.Publish(ctx, publish)
		if err != nil {
			return fmt.Errorf("withdrawing the key (the outcome is not known; run the same command again): %w", err)
		}
		if published.Kind != configuration.Conflict {
			return a.finishPublished(ctx, c, api, publish.Base, published)
		}
	}
	return fmt.Errorf("withdrawing the key: other publishes were faster %d times; run the same command again", withdrawTries)
}

// withdrawal returns the publish that withdraws a key of the set in force, and whether it is withdrawn already.
func withdrawal(ctx context.Context, c *cli.Command, api operator.API, name string) (configuration.PublishRequest, bool, error) {
	current, err := api.Current(ctx)
	if err != nil {
		return configuration.PublishRequest{}, false, fmt.Errorf("reading the set in force: %w", err)
	}
	at := slices.IndexFunc(current.Set.Keys, func(k configuration.Key) bool { return k.Name == name })
	if at < 0 {
		return configuration.PublishRequest{}, false, fmt.Errorf("no key is named %q in revision %d", name, current.Number)
	}
	withdrawn := current.Set.Keys[at]
	publish := configuration.PublishRequest{Base: current.Number, Author: c.String("author"), Comment: c.String("comment")}
	if withdrawn.Withdrawn {
		return publish, true, nil
	}
	withdrawn.Withdrawn = true
	body, err := json.Marshal(withdrawn)
	if err != nil {
		return publish, false, fmt.Errorf("encoding the key: %w", err)
	}
	publish.Changes = []configuration.Change{{Kind: configuration.KindKey, Name: name, Body: body}}
	if publish.Comment == "" {
		publish.Comment = "withdraw key " + name
	}
	publish.ID = publicationID(publish)
	return publish, false, nil
}

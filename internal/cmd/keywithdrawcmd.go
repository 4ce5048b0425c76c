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

// maxWithdrawAttempts limits the attempts to withdraw a key while concurrent publishes cause conflicts.
const maxWithdrawAttempts = 10

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
	for range maxWithdrawAttempts {
		request, alreadyWithdrawn, err := withdrawalRequest(ctx, c, api, name)
		if err != nil {
			return err
		}
		if alreadyWithdrawn {
			return a.finishPublish(ctx, c, api, request.Base, configuration.PublishResult{Kind: configuration.Accepted, Revision: request.Base})
		}
		result, err := api.Publish(ctx, request)
		if err != nil {
			return fmt.Errorf("withdrawing the key (the outcome is not known; run the same command again): %w", err)
		}
		if result.Kind != configuration.Conflict {
			return a.finishPublish(ctx, c, api, request.Base, result)
		}
	}
	return fmt.Errorf("withdrawing the key: other publishes were faster %d times; run the same command again", maxWithdrawAttempts)
}

// withdrawalRequest returns a request that withdraws a key of the set in force, and whether the key is withdrawn
// already.
func withdrawalRequest(ctx context.Context, c *cli.Command, api operator.API, name string) (configuration.PublishRequest, bool, error) {
	current, err := api.Current(ctx)
	if err != nil {
		return configuration.PublishRequest{}, false, fmt.Errorf("reading the set in force: %w", err)
	}
	index := slices.IndexFunc(current.Set.Keys, func(k configuration.Key) bool { return k.Name == name })
	if index < 0 {
		return configuration.PublishRequest{}, false, fmt.Errorf("no key is named %q in revision %d", name, current.Number)
	}
	key := current.Set.Keys[index]
	request := configuration.PublishRequest{Base: current.Number, Author: c.String("author"), Comment: c.String("comment")}
	if key.Withdrawn {
		return request, true, nil
	}
	key.Withdrawn = true
	body, err := json.Marshal(key)
	if err != nil {
		return request, false, fmt.Errorf("encoding the key: %w", err)
	}
	request.Changes = []configuration.Change{{Kind: configuration.KindKey, Name: name, Body: body}}
	if request.Comment == "" {
		request.Comment = "withdraw key " + name
	}
	request.ID = publicationID(request)
	return request, false, nil
}

package cmd

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/operator"
)

func newMembersCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:  "members",
		Usage: "list and change the control instances of the cluster",
		Commands: []*cli.Command{
			{
				Name:  "list",
				Usage: "list the control instances",
				Description: "Lists each member with its role and the last log entry that the leader knows it to hold.\n\n" +
					"Example:\n   sapphirespread members list --control 127.0.0.1:7102",
				Flags:  []cli.Flag{controlFlag(), outputFlag()},
				Action: readAction(a, "members", operator.API.Members, printMembers),
			},
			{
				Name:      "add",
				Usage:     "add a control instance that does not vote yet",
				ArgsUsage: "NAME PEER-ADDRESS",
				Description: "Example:\n" +
					"   sapphirespread members add --control 127.0.0.1:7102 control-4 10.0.0.4:7101",
				Flags:  []cli.Flag{controlFlag(), dryRunFlag(), outputFlag()},
				Action: a.addMember,
			},
			{
				Name:      "promote",
				Usage:     "give a control instance that has caught up its vote",
				ArgsUsage: "NAME",
				Description: "Example:\n" +
					"   sapphirespread members promote --control 127.0.0.1:7102 control-4",
				Flags: []cli.Flag{controlFlag(), dryRunFlag(), outputFlag()},
				Action: func(ctx context.Context, c *cli.Command) error {
					return a.changeMember(ctx, c, "promoted", operator.API.PromoteMember)
				},
			},
			{
				Name:      "remove",
				Usage:     "remove a control instance from the cluster",
				ArgsUsage: "NAME",
				Description: "Example:\n" +
					"   sapphirespread members remove --control 127.0.0.1:7102 control-2",
				Flags: []cli.Flag{controlFlag(), dryRunFlag(), outputFlag()},
				Action: func(ctx context.Context, c *cli.Command) error {
					return a.changeMember(ctx, c, "removed", operator.API.RemoveMember)
				},
			},
		},
	}
}

func printMembers(w io.Writer, members []operator.Member) error {
	var rows [][]any
	for _, m := range members {
		rows = append(rows, []any{m.Name, m.Role, m.Address, m.Match})
	}
	return printTable(w, []string{"MEMBER", "ROLE", "ADDRESS", "MATCH"}, rows)
}

func (a *app) addMember(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 2, 2)
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(args[1])
	if err != nil {
		return usageError{fmt.Errorf("reading the peer address: %w", err)}
	}
	api, err := a.api(c)
	if err != nil {
		return err
	}
	if err := api.AddMember(ctx, operator.NewMember{Name: args[0], Address: address}); err != nil {
		return fmt.Errorf("adding the member: %w", err)
	}
	return a.printActionResult(c, "added", args[0])
}

func (a *app) changeMember(ctx context.Context, c *cli.Command, action string, change func(operator.API, context.Context, string) error) error {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return err
	}
	api, err := a.api(c)
	if err != nil {
		return err
	}
	if err := change(api, ctx, args[0]); err != nil {
		return fmt.Errorf("changing the member: %w", err)
	}
	return a.printActionResult(c, action, args[0])
}

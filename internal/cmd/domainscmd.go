package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/membership/evacuation"
	"sapphirespread.example/internal/operator"
)

func newDomainsCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:  "domains",
		Usage: "list failure domains and take them out of use and back",
		Commands: []*cli.Command{
			{
				Name:  "list",
				Usage: "list the failure domains",
				Description: "Lists each failure domain that is out of use or that instances are in. The second line tells how many of the\n" +
					"attached daemons have confirmed the last order.\n\n" +
					"Example:\n   sapphirespread domains list --control 127.0.0.1:7102",
				Flags:  []cli.Flag{controlFlag(), outputFlag()},
				Action: a.listDomains,
			},
			{
				Name:      "out",
				Usage:     "take a failure domain out of use, so that its targets get no calls",
				ArgsUsage: "NAME",
				Description: "The order holds until the failure domain is taken back, also if a service has no other targets. Sent again, it\n" +
					"changes nothing.\n\n" +
					"Example:\n   sapphirespread domains out --control 127.0.0.1:7102 oslo-a",
				Flags: []cli.Flag{controlFlag(), dryRunFlag(), outputFlag()},
				Action: func(ctx context.Context, c *cli.Command) error {
					return a.orderDomain(ctx, c, "taken out of use", true)
				},
			},
			{
				Name:      "back",
				Usage:     "take a failure domain back into use",
				ArgsUsage: "NAME",
				Description: "Example:\n" +
					"   sapphirespread domains back --control 127.0.0.1:7102 oslo-a",
				Flags: []cli.Flag{controlFlag(), dryRunFlag(), outputFlag()},
				Action: func(ctx context.Context, c *cli.Command) error {
					return a.orderDomain(ctx, c, "taken back into use", false)
				},
			},
		},
	}
}

func (a *app) listDomains(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c, 0, 0); err != nil {
		return err
	}
	api, err := a.api(c)
	if err != nil {
		return err
	}
	domains, err := api.FailureDomains(ctx)
	if err != nil {
		return fmt.Errorf("reading the failure domains: %w", err)
	}
	return a.print(c, newDomainRows(domains), func(w io.Writer) error { return printDomains(w, domains) })
}

// domainRows is the JSON output of the failure domains.
type domainRows struct {
	Version uint64      `json:"version"`
	Daemons int         `json:"daemons"`
	InForce int         `json:"in-force"`
	Domains []domainRow `json:"domains"`
}

// domainRow is the JSON output of one failure domain.
type domainRow struct {
	Name     string `json:"name"`
	OutOfUse bool   `json:"out-of-use"`
	OutFor   string `json:"out-for,omitempty"`
	Daemons  int    `json:"daemons"`
	Targets  int    `json:"targets"`
}

func newDomainRows(d operator.FailureDomains) domainRows {
	return domainRows{d.Version, d.Daemons, d.InForce, mapSlice(d.Domains, newDomainRow)}
}

func newDomainRow(d operator.FailureDomain) domainRow {
	row := domainRow{Name: d.Name, OutOfUse: d.OutOfUse, Daemons: d.Daemons, Targets: d.Targets}
	if d.OutOfUse {
		row.OutFor = d.OutFor.String()
	}
	return row
}

func printDomains(w io.Writer, d operator.FailureDomains) error {
	if _, err := fmt.Fprintf(w, "version   %d\nin force  at %d of %d daemons\n\n", d.Version, d.InForce, d.Daemons); err != nil {
		return err
	}
	var rows [][]any
	for _, row := range newDomainRows(d).Domains {
		use := "in use"
		if row.OutOfUse {
			use = "out of use"
		}
		rows = append(rows, []any{row.Name, use, row.OutFor, row.Daemons, row.Targets})
	}
	return printTable(w, []string{"FAILURE-DOMAIN", "USE", "OUT-FOR", "DAEMONS", "TARGETS"}, rows)
}

func (a *app) orderDomain(ctx context.Context, c *cli.Command, action string, out bool) error {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return err
	}
	api, err := a.api(c)
	if err != nil {
		return err
	}
	if err := api.OrderFailureDomain(ctx, evacuation.Order{Domain: args[0], Out: out}); err != nil {
		return fmt.Errorf("ordering a failure domain: %w", err)
	}
	return a.printActionResult(c, action, args[0])
}

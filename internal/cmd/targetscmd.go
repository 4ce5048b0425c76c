package cmd

import (
	"io"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/operator"
)

func newTargetsCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:  "targets",
		Usage: "list the announced targets",
		Description: "Lists each target with its state and what it reported last.\n\n" +
			"Example:\n   sapphirespread targets --control 127.0.0.1:7102",
		Flags:  []cli.Flag{controlFlag(), outputFlag()},
		Action: readAction(a, "targets", operator.API.Targets, printTargets),
	}
}

func printTargets(w io.Writer, targets []operator.Target) error {
	var rows [][]any
	for _, t := range targets {
		rows = append(rows, []any{t.Service, t.Name, t.State, t.FailureDomain, t.Address, t.Incarnation, t.Slots, t.InFlight, t.Connections})
	}
	headings := []string{"SERVICE", "TARGET", "STATE", "FAILURE-DOMAIN", "ADDRESS", "INCARNATION", "SLOTS", "IN-FLIGHT", "CONNECTIONS"}
	return printTable(w, headings, rows)
}

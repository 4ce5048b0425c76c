package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/operator"
)

func newStatusCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of the leader and of the daemons attached to it",
		Description: "Asks the first control instance that answers, and the leader where that one knows it. If the leader does not\n" +
			"answer, the state of the first is shown. A daemon whose revision stays behind has not yet the set in force.\n\n" +
			"Example:\n   sapphirespread status --control 127.0.0.1:7102",
		Flags: []cli.Flag{controlFlag(), outputFlag()},
		Action: readAction(a, "status", func(api operator.API, ctx context.Context) (operator.Status, error) {
			return a.leaderStatus(ctx, api)
		}, printStatus),
	}
}

func printStatus(w io.Writer, s operator.Status) error {
	leader := s.Leader
	if leader == "" {
		leader = "not known"
	}
	_, err := fmt.Fprintf(w, "process   %s\ncluster   %s\nleader    %s\nterm      %d\napplied   %d\nrevision  %d\n",
		s.Process, s.Cluster, leader, s.Term, s.Applied, s.Revision)
	if err == nil && len(s.OutOfUse) > 0 {
		_, err = fmt.Fprintf(w, "failure domains out of use: %s\n", strings.Join(s.OutOfUse, ", "))
	}
	if err == nil {
		_, err = fmt.Fprintln(w)
	}
	if err != nil {
		return err
	}
	var rows [][]any
	for _, d := range s.Daemons {
		rows = append(rows, []any{d.Name, d.FailureDomain, d.Revision, d.OperatorsAddress})
	}
	return printTable(w, []string{"DAEMON", "FAILURE-DOMAIN", "REVISION", "OPERATORS-ADDRESS"}, rows)
}

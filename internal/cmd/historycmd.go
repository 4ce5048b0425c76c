package cmd

import (
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/operator"
)

func newHistoryCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list who published which revision",
		Description: "Lists the kept revisions, the oldest first.\n\n" +
			"Example:\n   sapphirespread history --control 127.0.0.1:7102",
		Flags:  []cli.Flag{controlFlag(), outputFlag()},
		Action: readAction(a, "history", operator.API.History, printHistory),
	}
}

func printHistory(w io.Writer, entries []configuration.HistoryEntry) error {
	var rows [][]any
	for _, e := range entries {
		rows = append(rows, []any{e.Revision, e.At.UTC().Format(time.RFC3339), e.Author, e.Changes, e.Comment})
	}
	return printTable(w, []string{"REVISION", "AT", "AUTHOR", "CHANGES", "COMMENT"}, rows)
}

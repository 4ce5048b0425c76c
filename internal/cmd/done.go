package cmd

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// done is the JSON output of a command that changes one thing.
type done struct {
	Done   string `json:"done"`
	Name   string `json:"name"`
	DryRun bool   `json:"dry-run,omitempty"`
}

func (a *app) printDone(c *cli.Command, what, name string) error {
	result := done{what, name, c.Bool("dry-run")}
	return a.print(c, result, func(w io.Writer) error {
		if result.DryRun {
			what = "would be " + what
		}
		_, err := fmt.Fprintf(w, "%s %s\n", name, what)
		return err
	})
}

func mapped[From, To any](from []From, convert func(From) To) []To {
	to := make([]To, 0, len(from))
	for _, f := range from {
		to = append(to, convert(f))
	}
	return to
}

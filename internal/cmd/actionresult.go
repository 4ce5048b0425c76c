package cmd

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// actionResult is the JSON output of a command that makes a single change.
type actionResult struct {
	Done   string `json:"done"`
	Name   string `json:"name"`
	DryRun bool   `json:"dry-run,omitempty"`
}

func (a *app) printActionResult(c *cli.Command, action, name string) error {
	result := actionResult{action, name, c.Bool("dry-run")}
	return a.print(c, result, func(w io.Writer) error {
		if result.DryRun {
			action = "would be " + action
		}
		_, err := fmt.Fprintf(w, "%s %s\n", name, action)
		return err
	})
}

func mapSlice[From, To any](from []From, convert func(From) To) []To {
	to := make([]To, 0, len(from))
	for _, f := range from {
		to = append(to, convert(f))
	}
	return to
}

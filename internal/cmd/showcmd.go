package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/operator"
)

func newShowCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "show the set in force or an older one",
		Description: "Writes the objects in TOML, or into a folder to edit and publish from.\n\n" +
			"Example:\n   sapphirespread show --control 127.0.0.1:7102 --into objects",
		Flags: []cli.Flag{
			controlFlag(),
			&cli.Uint64Flag{Name: "revision", Usage: "show `REVISION` rather than the one in force"},
			&cli.StringFlag{Name: "into", Usage: "write into the empty `FOLDER`, with its revision noted"},
			outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, err := arguments(c, 0, 0); err != nil {
				return err
			}
			return a.show(ctx, c)
		},
	}
}

// showResult is the JSON output of the show command.
type showResult struct {
	Revision uint64                 `json:"revision"`
	Objects  []configuration.Change `json:"objects"`
}

func (a *app) show(ctx context.Context, c *cli.Command) error {
	api, err := a.api(c)
	if err != nil {
		return err
	}
	revision, err := requestedRevision(ctx, c, api)
	if err != nil {
		return fmt.Errorf("reading the set: %w", err)
	}
	if folder := c.String("into"); folder != "" {
		if err := writeFolder(folder, revision.Set, revision.Number); err != nil {
			return err
		}
	}
	result := showResult{revision.Number, append([]configuration.Change{}, revision.Set.Changes(configuration.Set{})...)}
	return a.print(c, result, func(w io.Writer) error {
		if folder := c.String("into"); folder != "" {
			_, err := fmt.Fprintf(w, "revision %d: %d objects in %s\n", result.Revision, len(result.Objects), folder)
			return err
		}
		if _, err := fmt.Fprintf(w, "# revision %d\n", result.Revision); err != nil {
			return err
		}
		return revision.Set.Write(w)
	})
}

func requestedRevision(ctx context.Context, c *cli.Command, api operator.API) (operator.Revision, error) {
	if c.IsSet("revision") {
		return api.Revision(ctx, c.Uint64("revision"))
	}
	return api.Current(ctx)
}

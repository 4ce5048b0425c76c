package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/configuration"
)

func newCheckCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a set of objects without publishing it",
		ArgsUsage: "PATH...",
		Description: "Reads TOML files and folders as one set and names every problem with its file and line.\n" +
			"Needs no control instance.\n\n" +
			"Example:\n   sapphirespread check examples/banevakt/objects",
		Flags: []cli.Flag{outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			paths, err := arguments(c, 1, math.MaxInt)
			if err != nil {
				return err
			}
			return a.check(c, paths)
		},
	}
}

// checkResult is the JSON output of the check command.
type checkResult struct {
	Problems configuration.Problems `json:"problems"`
	Objects  []objectCount          `json:"objects"`
}

// objectCount is the number of objects of one kind in a set.
type objectCount struct {
	Kind  configuration.Kind `json:"kind"`
	Count int                `json:"count"`
}

func (a *app) check(c *cli.Command, paths []string) error {
	set, err := loadSet(paths)
	result := checkResult{Problems: configuration.Problems{}, Objects: countObjects(set)}
	if err != nil && !errors.As(err, &result.Problems) {
		return err
	}
	printErr := a.print(c, result, func(w io.Writer) error {
		if err != nil {
			_, err := fmt.Fprintln(a.stderr, result.Problems)
			return err
		}
		return printCounts(w, result.Objects)
	})
	if printErr != nil {
		return printErr
	}
	if err != nil {
		return &executionError{fmt.Errorf("problems: %d", len(result.Problems))}
	}
	return nil
}

func countObjects(set configuration.Set) []objectCount {
	counts := make([]objectCount, 0, len(configuration.Kinds()))
	for _, kind := range configuration.Kinds() {
		counts = append(counts, objectCount{kind, len(set.OfKind(kind).Objects())})
	}
	return counts
}

func printCounts(w io.Writer, counts []objectCount) error {
	var rows [][]any
	for _, c := range counts {
		rows = append(rows, []any{c.Kind, c.Count})
	}
	return printTable(w, []string{"KIND", "OBJECTS"}, rows)
}

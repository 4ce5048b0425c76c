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
		Description: "Reads TOML files and folders as one set and names every problem with its file and line. Warns of objects\n" +
			"that can never match or have no effect, and of values that contradict each other. With --compare, lists what\n" +
			"differs from the set in force; needs no control instance otherwise.\n\n" +
			"Exit status: 0 if the set is valid, 1 if it has problems, or warnings with --strict, 2 for wrong use.\n\n" +
			"Examples:\n   sapphirespread check examples/banevakt/objects\n" +
			"   sapphirespread check --strict --compare --control 127.0.0.1:7102 examples/banevakt/objects",
		Flags: checkFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			paths, err := arguments(c, 1, math.MaxInt)
			if err != nil {
				return err
			}
			set, warnings, err := lintSet(paths)
			return a.reportCheck(ctx, c, set, warnings, err)
		},
	}
}

const (
	strictFlagName  = "strict"
	compareFlagName = "compare"
)

// checkFlags returns the flags of the commands that check a set.
func checkFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: strictFlagName, Usage: "fail on warnings as well"},
		&cli.BoolFlag{Name: compareFlagName, Usage: "list what differs from the set in force"},
		controlFlag(),
		outputFlag(),
	}
}

// checkResult is the JSON output of the commands that check a set.
type checkResult struct {
	Problems configuration.Problems `json:"problems"`
	// Warnings name objects of a valid set that have no effect or contradict each other.
	Warnings configuration.Problems `json:"warnings,omitempty"`
	Objects  []objectCount          `json:"objects"`
	// Changes turn the set in force into the checked one, if they were asked for.
	Changes []configuration.Change `json:"changes,omitempty"`
}

// objectCount is the number of objects of one kind in a set.
type objectCount struct {
	Kind  configuration.Kind `json:"kind"`
	Count int                `json:"count"`
}

// reportCheck reports a set with its warnings, or the error of reading or checking it.
func (a *app) reportCheck(ctx context.Context, c *cli.Command, set configuration.Set, warnings configuration.Problems, err error) error {
	result := checkResult{Problems: configuration.Problems{}, Warnings: warnings, Objects: countObjects(set)}
	if err != nil && !errors.As(err, &result.Problems) {
		return err
	}
	var inForce configuration.Set
	if err == nil && c.Bool(compareFlagName) {
		if inForce, err = a.setInForce(ctx, c); err != nil {
			return err
		}
		result.Changes = set.Changes(inForce)
	}
	printErr := a.print(c, result, func(w io.Writer) error { return a.printCheck(w, c, result, inForce) })
	if printErr != nil {
		return printErr
	}
	switch {
	case len(result.Problems) > 0:
		return &executionError{fmt.Errorf("problems: %d", len(result.Problems))}
	case len(result.Warnings) > 0 && c.Bool(strictFlagName):
		return &executionError{fmt.Errorf("warnings: %d", len(result.Warnings))}
	}
	return nil
}

// setInForce returns the set in force at the control instances.
func (a *app) setInForce(ctx context.Context, c *cli.Command) (configuration.Set, error) {
	api, err := a.api(c)
	if err != nil {
		return configuration.Set{}, err
	}
	revision, err := api.Current(ctx)
	if err != nil {
		return configuration.Set{}, fmt.Errorf("reading the revision in force: %w", err)
	}
	return revision.Set, nil
}

// printCheck writes the result as text: problems and warnings to the error output, the rest to w.
func (a *app) printCheck(w io.Writer, c *cli.Command, result checkResult, inForce configuration.Set) error {
	if len(result.Problems) > 0 {
		_, err := fmt.Fprintln(a.stderr, result.Problems)
		return err
	}
	for _, warning := range result.Warnings {
		if _, err := fmt.Fprintln(a.stderr, "warning:", warning); err != nil {
			return err
		}
	}
	if err := printCounts(w, result.Objects); err != nil || !c.Bool(compareFlagName) {
		return err
	}
	return printChanges(w, inForce, result.Changes)
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

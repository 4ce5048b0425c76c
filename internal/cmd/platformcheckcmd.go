package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/configuration/lint"
	"sapphirespread.example/platform"
)

func newPlatformCheckCommand(a *app) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration document of the platform before it is sent",
		ArgsUsage: "DOCUMENT",
		Description: "Names every problem, warns of what can never match or has no effect and of values that contradict each\n" +
			"other, and with --compare lists what differs from the version in force. Names are those of the objects that\n" +
			"the document defines.\n\n" +
			"Exit status: 0 if the document is valid, 1 if it has problems, or warnings with --strict, 2 for wrong use.\n\n" +
			"Example:\n   sapphirespread platform check --compare --control 127.0.0.1:7102 document.json",
		Flags: checkFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			paths, err := arguments(c, 1, 1)
			if err != nil {
				return err
			}
			set, warnings, err := lintDocument(paths[0])
			return a.reportCheck(ctx, c, set, warnings, err)
		},
	}
}

// lintDocument reads and checks a document of the platform, and returns its set with warnings if it is valid. The error
// lists the problems.
func lintDocument(path string) (configuration.Set, configuration.Problems, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return configuration.Set{}, nil, fmt.Errorf("reading a document: %w", err)
	}
	_, set, err := platform.Node{}.DecodeDocument(content, 0)
	if err != nil {
		return set, nil, configuration.Problems{{File: path, Found: err.Error(), Expected: "a document of the platform"}}
	}
	if err := set.Check(); err != nil {
		return set, nil, err
	}
	return set, lint.Check(set), nil
}

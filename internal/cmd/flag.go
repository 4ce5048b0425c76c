package cmd

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"sapphirespread.example/internal/operator"
)

const (
	controlEnvVar = "SAPPHIRESPREAD_CONTROL"
	authorEnvVar  = "SAPPHIRESPREAD_AUTHOR"
)

const (
	outputText = "text"
	outputJSON = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "output",
		Usage: "write `FORMAT` text or json",
		Value: outputText,
		Validator: func(format string) error {
			if !slices.Contains([]string{outputText, outputJSON}, format) {
				return fmt.Errorf("unknown format %q, expected text or json", format)
			}
			return nil
		},
	}
}

func controlFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:    "control",
		Usage:   "operators `ADDRESSES` of control instances, tried in turn",
		Sources: cli.EnvVars(controlEnvVar),
	}
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "author",
		Usage:   "`NAME` that history shows",
		Sources: cli.EnvVars(authorEnvVar, "USER"),
	}
}

func commentFlag() cli.Flag {
	return &cli.StringFlag{Name: "comment", Usage: "`TEXT` that history shows"}
}

func dryRunFlag() cli.Flag {
	return &cli.BoolFlag{Name: "dry-run", Usage: "tell the answer without a change"}
}

func baseFlag(usage string) cli.Flag {
	return &cli.Uint64Flag{Name: "base", Usage: usage}
}

// api returns a client for the addresses of the control flag, which changes nothing if the dry-run flag is set.
func (a *app) api(c *cli.Command) (operator.API, error) {
	addresses, err := parseAddresses("control", c.StringSlice("control"))
	if err != nil {
		return nil, err
	}
	if len(addresses) == 0 {
		return nil, usageError{fmt.Errorf("no control instance is named; give --control or set %s", controlEnvVar)}
	}
	api := a.open(addresses)
	if c.Bool("dry-run") {
		return operator.NewDryRun(api), nil
	}
	return api, nil
}

func parseAddresses(flag string, texts []string) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		address, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, usageError{fmt.Errorf("reading --%s: %w", flag, err)}
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// arguments returns the arguments, or a usage error if there are fewer than minArgs or more than maxArgs.
func arguments(c *cli.Command, minArgs, maxArgs int) ([]string, error) {
	args := c.Args().Slice()
	if len(args) < minArgs || len(args) > maxArgs {
		usage := c.ArgsUsage
		if usage == "" {
			usage = "no arguments"
		}
		return nil, usageError{fmt.Errorf("%s takes %s; see %s --help", c.FullName(), usage, c.FullName())}
	}
	return args, nil
}
